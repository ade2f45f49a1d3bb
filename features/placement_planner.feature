Feature: The planner loads the models in demand within the targets' capacity
  The planner tracks what each target holds and derives its orders from demand.

  Scenario Outline: targets are never overcommitted, seed <seed>
    Given 4 targets with room for 3 models and 2 adapters each, and 8 models
    And orders are lost, delayed or rejected and targets restart, seed <seed>
    When random demand is simulated for 90 s
    Then no target was ordered to load more than fits
    And each model in demand was loaded at some time

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

  Scenario Outline: targets are never overcommitted by a new planner, seed <seed>
    Given 4 targets with room for 3 models and 2 adapters each, and 8 models
    And orders are lost, delayed or rejected and targets restart, seed <seed>
    When random demand is simulated for 90 s and the planner is replaced every 7 s
    Then no target was ordered to load more than fits

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |

  Scenario Outline: <case>
    Given one full target that holds m1, m2 and m3
    And <demand>
    When the planner runs for 10 s
    Then <result>

    Examples:
      | case                                      | demand                                   | result            |
      | a deferrable model replaces an idle one        | m1 and m2 are busy and requests wait for m4  | m1, m2, m4 are held |
      | a deferrable model does not replace a busy one | m1, m2, m3 are busy and requests wait for m4 | m1, m2, m3 are held |
      | without demand nothing changes                 | there is no demand                           | m1, m2, m3 are held |

  Scenario: a busy model gets a second replica before its only target is full
    Given two full targets that hold m1, m2, m3 and m4, m5, m6
    And m1 runs 40 requests on the first of 64 slots and the others are idle
    When the planner runs for 10 s
    Then m1 is held by both targets

  Scenario: a model is unloaded only after its requests have ended
    Given one full target that holds m1, m2 and m3
    And m1 and m2 are busy, requests wait for m4 and m3 runs one request
    When the planner runs for 1 s
    Then no order was given
    When the request of m3 ends and the planner runs for 10 s
    Then m1, m2, m4 are held

  Scenario: a new planner evicts as soon as it knows what the target holds
    Given one full target that holds m1, m2 and m3
    And m1 and m2 are busy and requests wait for m4
    When the planner runs for 1 s
    Then m3 was ordered to be unloaded

  Scenario: an extra replica replaces an idle model, not a replica in use
    Given two full targets that hold m1, m2, m3 and m1, m4, m5
    And m2 runs 60 requests on the first while 4 of m1 run on each
    When the planner runs for 10 s
    Then m2 is held by both targets

  Scenario: a target with cached weights is preferred to the weight store
    Given two full targets that hold m1, m2, m3 and m5, m6, m7
    And the second has m4 on its disk, and requests wait for m4
    When the planner runs for 10 s
    Then m4 is held by the second target alone

  Scenario: a model whose cached weights lie only where no room can be made is fetched
    Given two full targets that hold m1, m2, m3 and m5, m6, m7
    And the first is full of busy models, the second holds idle ones, and requests wait for m4
    And only the first has m4 on its disk
    When the planner runs for 10 s
    Then m4 is held by the second target alone

  Scenario: the planner says why a model in demand is not loaded
    Given one full target that holds m1, m2 and m3
    And m1, m2, m3 are busy and requests wait for m4
    When the planner runs for 1 s
    Then m4 is blocked: no room

  Scenario: loads from the weight store keep to the rate limit
    Given 4 targets with room for 3 models and 2 adapters each, and 8 models
    And requests wait for each model and no target has any cached
    When the planner runs for 10 s
    Then no window of 5 s saw more than 13 loads from the weight store

  Scenario Outline: the state after <case>
    Given the state of a target that holds m1 after 5 orders
    When <case>
    Then the state <result>

    Examples:
      | case                                                       | result                           |
      | a load order gets no answer                                | includes the model               |
      | a load order is rejected after an unknown one was accepted | is unknown until the next report |
      | a report predates the last order                           | is unchanged                     |
      | a report shows a model that was not ordered                | includes the model               |
      | an adapter is unloaded before the answer                   | counts one more order            |
      | the target restarts                                        | is empty                         |
