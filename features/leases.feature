Feature: Leases of a shard of targets
  One holder at a time, by conditional updates and monotonic clocks.

  Scenario: lease model holds under every fault
    When the lease model is checked
    Then the lease model finds one valid holder at most

  Scenario: lease model finds candidates that do not wait
    Given lease electors with candidates that do not wait for a term
    When the lease model is checked
    Then the lease model finds two valid holders

  Scenario: lease model holds when the store comes back from a copy
    When the lease model with a restored store is checked
    Then the lease model finds one valid holder at most

  Scenario Outline: lease model finds electors that <fault>
    Given lease electors that <fault>
    When the lease model with a restored store is checked
    Then the lease model finds <violation>

    Examples:
      | fault                                          | violation                        |
      | take a record of an earlier era for free       | two valid holders                |
      | count on from the fencing number of the record | a fencing number given out twice |

  Scenario Outline: lease validity counts from before the write was sent
    When the answer of a lease write comes <delay> s after it was sent
    Then the lease is valid for <valid> s after the write was sent

    Examples:
      | delay | valid |
      | 0     | 8.5   |
      | 5     | 8.5   |
      | 9     | 0     |

  Scenario Outline: another instance takes the lease when the holder is <fault>
    Given lease electors a and b, and a holds the lease
    When the lease holder a is <fault>
    Then lease elector b holds within <bound> s with a higher fence
    And the lease of a was not valid any more by then

    Examples:
      | fault             | bound |
      | killed            | 14    |
      | paused            | 14    |
      | cut off           | 14    |
      | stopped           | 5     |

  Scenario Outline: another instance takes the lease sooner when <case>
    Given lease electors a and b with a term of 3 s and a wait of <wait> s, and a holds the lease
    When the lease holder a is <fault>
    Then lease elector b holds within <bound> s with a higher fence

    Examples:
      | case                            | wait | fault                             | bound |
      | targets refuse old fences       | 1.8  | killed                           | 4.5   |
      | the holder announced its end    | 3.0  | killed after it announced its end | 2     |

  Scenario: a holder that ended once and holds again keeps the lease
    Given lease electors a and b with a term of 3 s and a wait of 1.8 s, and a holds the lease
    When a ended, holds again under a higher fence, and b of the first rank reads it
    Then lease elector b never took the lease

  Scenario: a holder that was suspended within its term gives no order before it renews
    Given a placement controller that holds the lease for 3 s
    When its process is suspended for 2 s and the store does not answer
    Then it gives no orders until its lease is renewed

  Scenario Outline: a lease write whose answer is lost is settled by reading
    Given lease electors a and b, and a holds the lease
    When the answer of a lease renewal of a is lost and it <effect>
    Then lease elector a still holds with the same fence

    Examples:
      | effect       |
      | took effect  |
      | was lost too |

  Scenario: an operator sees that placement is frozen without the platform
    Given a lease runner whose platform goes down after it held its lease
    Then its lease dump says frozen after the term
    And its lease dump says held again when the platform is back
