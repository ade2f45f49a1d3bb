Feature: Routing by residency, load and shared slots
  Runs on a virtual clock.

  Scenario: stale reports do not send all requests to one target
    Given schedulers for 8 instances with gossip none
    And 8 routed targets of 16 slots that all hold m0
    When 80 requests for m0 arrive within 1 ms while all targets are reported idle
    Then no routed target was sent more than 2.5 times the mean

  Scenario Outline: even shares add up to the slots for any number of instances
    Then the even shares of <instances> instances add up to <slots> slots on any target

    Examples:
      | instances | slots |
      | 1         | 16    |
      | 3         | 16    |
      | 9         | 16    |
      | 9         | 4     |
      | 35        | 16    |

  Scenario Outline: slots that an instance may use
    When peers use <peers> of a target with 12 slots
    Then instance i0 may use <limit> of them

    Examples: requests in flight / waiting of each peer, or stale
      | peers                | limit |
      | nothing              | 12    |
      | 0/0 0/0              | 12    |
      | 4/0 0/0              | 8     |
      | 12/0 0/0             | 6     |
      | 0/9 0/0              | 6     |
      | 0/9 0/9              | 4     |
      | 2/0 2/0              | 8     |
      | stale stale          | 4     |
      | stale 0/0            | 6     |

  Scenario: a leaving target gets no new requests until it restarts
    Given schedulers for 1 instances with gossip regular
    And 2 routed targets of 4 slots that all hold m0
    When the scheduler is told that routed target t0 is leaving
    Then 4 requests for m0 all go to t1
    When an outdated listing shows t0 as not leaving
    Then the next request for m0 is queued
    When t0 reports a new incarnation
    Then the next request for m0 goes to t0

  Scenario: targets of other data centres are used only when the local ones are full
    Given schedulers for 1 instances with gossip regular
    And routed target near of 4 slots in d1 holds m0
    And routed target far of 4 slots in d2 holds m0
    Then 4 requests for m0 go to near before one goes to far

  Scenario: requests with the same prompt prefix go to one target from any instance
    Given schedulers for 4 instances with gossip regular
    And 6 routed targets of 64 slots that all hold m0
    When each instance sends 20 requests with a long prompt of the same prefix
    Then at least 0.9 of them went to one routed target

  Scenario: a failing target is tried with exponential backoff until it answers
    Given schedulers for 1 instances with gossip regular
    And 1 routed targets of 4 slots that all hold m0
    When attempts on t0 fail for 60 s because it refuses connections
    Then t0 was tried at most 16 times
    When t0 answers again
    Then the scheduler sends work to t0 within 20 s

  Scenario: a missing adapter is requested once and then used
    Given schedulers for 1 instances with gossip regular
    And 1 routed targets of 4 slots that all hold m0
    When 3 requests for adapter x of m0 arrive at the scheduler
    Then the scheduler requests x on t0 once
    When t0 reports x
    Then all 3 requests for x go to t0

  Scenario Outline: retries
    Given schedulers for 1 instances with gossip regular
    And 2 routed targets of 64 slots that all hold m0
    When 100 attempts end <end> and are submitted for retry
    Then between <min> and <max> retries are allowed

    Examples:
      | end       | min   | max  |
      | connect   | 15    | 20   |
      | broken    | 15    | 20   |
      | busy      | 100   | 100  |

  Scenario: the cost of a decision at the specified scale
    Given a scheduler with 417 targets, 880 models and 34 peers
    When 2000 requests are scheduled and completed there
    Then the decisions check at most 16 targets each on average
