Feature: The holder of the lease carries the traffic of many instances
  What the holder sends and sums up is bounded, however many instances there are.

  Scenario Outline: views of <instances> instances leave room on a link of <mbps> Mbit/s
    Given a holder with a link of <mbps> Mbit/s that <instances> instances report to
    When orders are answered all the time for 10 s
    Then views took at most 0.3 of the link
    And each round of views was encoded once
    And instances waited at most <most> s for a view

    Examples:
      | instances | mbps | most |
      | 9         | 1000 | 0.05 |
      | 89        | 200  | 0.5  |
      | 89        | 10   | 4    |
      | 60        | 5    | 5    |

  Scenario: with many instances a change is told without all that stays the same
    Given a holder with a link of 200 Mbit/s that 89 instances report to
    When one of 64 targets changes what it holds every 0.1 s for 10 s
    Then an instance that gets the views knows each change within 0.1 s
    And it knows at most 0.3 s late how many requests run
    And views took at most a third of the bytes that full ones would take

  Scenario: a machine with a slow link takes a free lease after those with fast ones
    When 200 instances on fast links and 200 on slow ones choose their ranks
    Then each fast one comes before each slow one

  Scenario Outline: reports of <instances> instances cost the holder a bounded rate
    When <instances> instances report for 10 s while requests wait all the time
    Then the holder gets at most 600 reports a second and sums them up at most 60 times

    Examples:
      | instances |
      | 9         |
      | 89        |
      | 300       |

  Scenario: an instance that gives no orders wakes rarely beside a live holder
    Given an instance that gets a view of the holder every 0.25 s
    When its part in the lease runs for 10 s
    Then it woke at most 12 times a second, and knows within 0.2 s that views stopped
