Feature: Routing by residency, load and shared credits
  Driven on a virtual clock.

  Scenario: stale reports send no herd to one target
    Given schedulers for 8 instances with gossip none
    And 8 routed targets of 16 slots that all hold m0
    When 80 requests for m0 arrive within 1 ms while all reports say idle
    Then no routed target was sent more than 2.5 times the mean

  Scenario Outline: even shares of any number of instances fit the slots
    Then the even shares of <instances> instances add up to <slots> slots at any target

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

    Examples: in flight / waiting of each peer, or silent
      | peers                | limit |
      | nothing              | 12    |
      | 0/0 0/0              | 12    |
      | 4/0 0/0              | 8     |
      | 12/0 0/0             | 6     |
      | 0/9 0/0              | 6     |
      | 0/9 0/9              | 4     |
      | 2/0 2/0              | 8     |
      | silent silent        | 4     |
      | silent 0/0           | 6     |

  Scenario: a target that leaves gets nothing new until it starts again
    Given schedulers for 1 instances with gossip regular
    And 2 routed targets of 4 slots that all hold m0
    When the scheduler hears that routed target t0 leaves
    Then 4 requests for m0 all go to t1
    When an older listing says that t0 stays
    Then the next request for m0 waits
    When t0 reports a new incarnation
    Then the next request for m0 goes to t0

  Scenario: the own data centre is preferred, another one used when it is full
    Given schedulers for 1 instances with gossip regular
    And routed target near of 4 slots in d1 holds m0
    And routed target far of 4 slots in d2 holds m0
    Then 4 requests for m0 fill near before far gets one

  Scenario: equal prompt prefixes go to one target at any instance
    Given schedulers for 4 instances with gossip regular
    And 6 routed targets of 64 slots that all hold m0
    When each instance sends 20 requests with a long prompt of the same prefix
    Then at least 0.9 of them went to one routed target

  Scenario: a target that fails is tried less and less until it answers
    Given schedulers for 1 instances with gossip regular
    And 1 routed targets of 4 slots that all hold m0
    When attempts at t0 fail for 60 s as its connections are refused
    Then t0 was tried at most 16 times
    When t0 answers again
    Then the scheduler sends work to t0 within 20 s

  Scenario: a missing adapter is asked for once and then used
    Given schedulers for 1 instances with gossip regular
    And 1 routed targets of 4 slots that all hold m0
    When 3 requests for adapter x of m0 arrive at the scheduler
    Then the scheduler asks for x at t0 once
    When t0 reports x
    Then all 3 requests for x go to t0

  Scenario Outline: retries
    Given schedulers for 1 instances with gossip regular
    And 2 routed targets of 64 slots that all hold m0
    When 100 attempts end <end> and ask for a retry
    Then between <least> and <most> retries are given

    Examples:
      | end       | least | most |
      | connect   | 15    | 20   |
      | broken    | 15    | 20   |
      | busy      | 100   | 100  |

  Scenario: a decision at the stated size
    Given a scheduler with 417 targets, 880 models and 34 peers
    When 2000 requests are scheduled and end there
    Then the decisions looked at 16 targets each at most
