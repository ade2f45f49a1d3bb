Feature: Placement of models and adapters
  Placers of several data centres see the same reports but do not coordinate.

  Scenario Outline: placement loads every model without coordination between placers
    Given a placement of <models> models of 20 GB on <engines> engines of 96 GB in <centres> data centres
    When the placement runs for 60 s
    Then each placed model is resident at least once
    And at most <copies> replicas were loaded and no memory was overcommitted

    Examples:
      | models | engines | centres | copies |
      | 4      | 2       | 1       | 4      |
      | 20     | 6       | 3       | 22     |
      | 20     | 6       | 4       | 22     |

  Scenario: placement stays within its share of the weight store rate
    Given a placement of 20 models of 20 GB on 6 engines of 96 GB in 3 data centres
    When the placement runs for 4 s
    Then the placement started at most 15 model loads

  Scenario Outline: placement recovers the models of a target that is <fate>
    Given a placement of 12 models of 20 GB on 6 engines of 96 GB in 3 data centres
    When the placement runs for 60 s
    And the placed target e1 is <fate>
    And the placement runs for 60 s
    Then each placed model is resident on a target other than e1
    And the placement loaded nothing on target e1 after that

    Examples:
      | fate    |
      | lost    |
      | leaving |

  Scenario: placement loads a new version before it unloads the old one
    Given a placement of 4 models of 20 GB on 2 engines of 96 GB in 1 data centres
    When the placement runs for 30 s
    And the placed model m0 gets version 2
    And the placement runs for 90 s
    Then the placed version 2 of m0 was loaded before version 1 was unloaded
    And the placed version 1 of m0 is not resident

  Scenario: placement adds a replica only for a model in demand
    Given a placement of 4 models of 20 GB on 4 engines of 96 GB in 2 data centres
    When the placement runs for 30 s
    And the placed model m0 has demand and the placement runs for 20 s
    Then the placed model m0 has more than 1 replica and m1 has 1

  Scenario: placement sends no orders without a valid lease
    Given a placement of 4 models of 20 GB on 4 engines of 96 GB in 2 data centres
    When the placement runs for 30 s
    And the placement leases expire and target e1 is lost
    Then the placement sends no order in 60 s
    And the placement recovers every model after it regains its leases

  Scenario: placement evicts an adapter to load a requested one
    Given a placement where 3 adapters of two customers fill the free memory
    When another adapter of customer little is requested
    Then the least recently used adapter of customer large was evicted
    And the placed adapter in use was not evicted

  Scenario Outline: plan reports the shortfall of <gb> GB engines
    Given an inventory of 5 models of 20 GB for engines of <gb> GB in two data centres
    Then the shortfall is <unplaced> models and <missing> GB of memory
    And the shortfall after the loss of a target leaves <after> models out

    Examples:
      | gb | unplaced | missing | after |
      | 64 | 0        | 0       | 2     |
      | 40 | 1        | 20      | 3     |
      | 10 | 5        | 100     | 5     |
      | 100| 0        | 0       | 0     |
