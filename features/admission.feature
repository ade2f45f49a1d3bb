Feature: Admission by deadline, class and fair share
  Runs on a virtual clock; targets refuse requests that exceed their slots.

  Scenario Outline: more load than capacity, offered to several instances
    Given schedulers for <instances> instances with gossip <gossip>
    And 3 scheduled targets of 16 slots that share 6 models
    When customers a, b and c offer <factor> times the capacity, a <flood> times its share
    Then the schedulers serve at least <share> of the slots' capacity in time
    And no scheduled request was late
    And no scheduled target ran more than its slots
    And the largest customer share is at most 1.1 times the smallest

    Examples:
      | instances | gossip  | factor | flood | share |
      | 1         | regular | 2      | 1     | 0.95  |
      | 8         | regular | 2      | 1     | 0.95  |
      | 8         | regular | 2      | 5     | 0.95  |
      | 8         | slow    | 2      | 1     | 0.95  |
      | 8         | none    | 2      | 1     | 0.95  |
      | 8         | regular | 10     | 1     | 0.95  |

  Scenario: requests that cannot meet their deadline are refused on arrival
    Given schedulers for 1 instances with gossip regular
    And 1 scheduled targets of 4 slots that share 1 models
    When 200 requests with 3 s each arrive at the scheduler at once
    Then every scheduler refusal comes on arrival or before the deadline
    And at least 150 of them are refused on arrival
    And each refusal carries a retry-after time with jitter
    And no scheduled request was late

  Scenario Outline: a request that may be impossible to serve in time
    Given schedulers for 1 instances with gossip regular
    And 1 scheduled targets of 4 slots that share 1 models
    When a request for <model> with <deadline> s and <tokens> tokens is scheduled
    Then the scheduler answers it with <outcome>

    Examples:
      | model | deadline | tokens | outcome     |
      | m0    | 1.0      | 50     | dispatch    |
      | m0    | 0.4      | 50     | deadline    |
      | m0    | 3.0      | 4000   | deadline    |
      | gone  | 3.0      | 50     | model       |

  Scenario Outline: a full queue displaces less urgent work or the largest customer's
    Given bounded schedulers for 1 instances with a queue of 4
    And 1 scheduled targets of 1 slots that share 1 models
    When the scheduler's queue is filled with <held> work of customer a
    And <new> work of customer b is scheduled
    Then the scheduler displaces work of customer <displaced>

    Examples:
      | held        | new         | displaced |
      | overnight   | urgent      | a         |
      | overnight   | interactive | a         |
      | interactive | interactive | a         |
      | urgent      | interactive | b         |
      | interactive | overnight   | b         |

  Scenario: overnight work does not delay urgent work
    Given schedulers for 4 instances with gossip regular
    And 3 scheduled targets of 16 slots that share 6 models
    When urgent work is offered alone and then beside a flood of overnight work
    Then the same number of urgent requests met their deadline

  Scenario: overnight work gives way to interactive work and meets its deadline
    Given schedulers for 2 instances with gossip regular
    And 3 scheduled targets of 16 slots that share 6 models
    When overnight work arrives amid interactive work at 1.2 times the capacity
    Then every overnight request met its deadline
    And at least 0.98 of the interactive requests still met their deadline

  Scenario: a request for a model that is not resident is queued and reported as demand
    Given schedulers for 1 instances with gossip regular
    And 1 scheduled targets of 4 slots that share 1 models
    When a request for m1 with 3.0 s and 50 tokens is scheduled
    Then the scheduler's load report shows 1 waiting request for m1
    And it is refused by the scheduler before its deadline
