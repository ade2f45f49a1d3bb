Feature: Quotas of customers over all instances together
  Sixteen customers of uneven size, each with a usual demand of 1/1.8 of its quota. The
  holder's ledger and each instance's quotas, without a network, on a virtual clock.

  Scenario Outline: <instances> instances, customer <hot> sends <times> times its usual, <event>
    When <instances> instances serve <hot> at <times> times its usual, <event>, seed <seed>
    Then no customer is sent more than its quota allows in any window
    And the hot customer gets at least <used> of its quota
    And of the others' requests at most <refused> are refused

    Examples: no failure
      | instances | hot | times | event                     | seed | used | refused |
      | 7         | 0   | 10    | nothing                   | 1    | 0.9  | 0.01    |
      | 7         | 5   | 7.5   | nothing                   | 2    | 0.9  | 0.01    |
      | 24        | 5   | 10    | nothing                   | 3    | 0.9  | 0.01    |
      | 24        | 12  | 7.5   | nine of ten at one        | 4    | 0.9  | 0.01    |
      | 80        | 0   | 10    | nothing                   | 5    | 0.9  | 0.01    |
      | 80        | 5   | 7.5   | nine of ten at one        | 6    | 0.9  | 0.01    |

    Examples: failures
      | instances | hot | times | event                     | seed | used | refused |
      | 7         | 5   | 10    | one killed                | 1    | 0.9  | 0.01    |
      | 24        | 5   | 7.5   | one killed and restarted  | 2    | 0.9  | 0.01    |
      | 7         | 5   | 10    | one frozen                | 3    | 0.9  | 0.01    |
      | 24        | 3   | 10    | three cut off             | 4    | 0.9  | 0.01    |
      | 7         | 5   | 10    | most cut off              | 5    | 0.9  | 0.01    |
      | 7         | 5   | 7.5   | all restarted             | 6    | 0.9  | 0.01    |
      | 24        | 5   | 10    | another holder            | 7    | 0.9  | 0.01    |
      | 7         | 5   | 10    | the holder killed         | 8    | 0.9  | 0.01    |
      | 7         | 5   | 10    | no holder                 | 9    | 0.9  | 0.01    |

  Scenario: a limit that is lowered
    When 7 instances serve 5 at 10 times its usual, its limit halved, seed 1
    Then the lower limit holds from one window after the change

  Scenario: a limit that is removed
    When 7 instances serve 5 at 10 times its usual, its limit removed, seed 1
    Then the hot customer is refused nothing from then on

  Scenario: a sparse customer whose requests come once in half a minute at each instance
    When 68 instances serve 0 at 1 times its usual, nothing, seed 1
    Then of all its requests at most 0.01 are refused
    And those that wait for the holder wait less than 0.4 s

  Scenario Outline: a customer just below its quota, 0.97 of it, customer <hot>
    When 16 instances serve <hot> at 1.75 times its usual, nothing, seed 1
    Then no customer is sent more than its quota allows in any window
    And of all its requests at most 0.01 are refused

    Examples:
      | hot |
      | 1   |
      | 3   |
      | 12  |

  Scenario Outline: when a refused request would be admitted, <case>
    Given an instance that may send <allowed> tokens in 8 s, and sent <sent>
    When a request of <cost> tokens comes at <at> s
    Then it is told to come back after <retry> s, and is admitted then

    Examples:
      | case                   | allowed | sent                | cost | at | retry |
      | the first use ends     | 1000    | 600 at 0, 400 at 3  | 500  | 4  | 4.1   |
      | the second has to end  | 1000    | 600 at 0, 400 at 3  | 900  | 4  | 7.1   |

  Scenario Outline: a request that is not sent, <case>
    Given an instance that may send 1000 tokens in 8 s, and sent 400 at 0
    When a request of 600 tokens is admitted and <case>
    Then a request of 600 tokens is <then>

    Examples:
      | case                             | then     |
      | refused for another reason       | admitted |
      | sent and surely not run          | admitted |
      | sent                             | refused  |

  Scenario: an explanation takes nothing of a quota
    Given an instance that may send 1000 tokens in 8 s, and sent 400 at 0
    When a request of 600 tokens is only assessed
    Then a request of 600 tokens is admitted

  Scenario: a request that costs more than the whole limit
    Given an instance that may send 1000 tokens in 8 s, and sent 400 at 0
    When a request of 999999999 tokens comes at 1 s
    Then it is refused, and does not count as demand

  Scenario Outline: what instances report, <case>
    When <case>
    Then the uses are <result>

    Examples:
      | case                             | result         |
      | two uses are packed and read     | the same       |
      | a packed use is cut short        | not readable   |
      | a packed name is not UTF-8       | not readable   |
