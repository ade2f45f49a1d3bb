Feature: The planner keeps up with a large fleet
  One step weighs every model that lacks a replica against every target, and models
  that are asked for rarely take turns at all targets at once.

  Scenario: the work of a step grows with the targets, not with their square
    Given a planner for 20 and one for 40 targets, with as many models blocked
    When each plans one step
    Then the second makes at most 3 times the calls of the first

  Scenario: rare models that no target has cached are fetched side by side
    Given 30 targets that hold idle models and 24 rare models that are waited for
    And the weight store allows 9 loads a second
    When the planner of the fleet runs for 2 s
    Then at least 6 fetches began
    And loads from the weight store kept to its rate

  Scenario: a rare model takes the place of a surplus replica
    Given 2 targets that both hold the same idle latency-critical models
    When requests wait for a rare model for 3 s
    Then it is loaded and each idle model still has a replica

  Scenario: a rare model is fetched elsewhere when its only cached weights are out of reach
    Given 2 targets, of which the one with the weights is busy with a load of 3 s
    When requests wait for a rare model for 1.5 s
    Then its load was ordered at the other target

  Scenario Outline: no model that is asked for is starved, <rare> rare models at <targets> targets
    Given <targets> targets that each hold 3 of <rare> rare models
    When each model that no target holds is waited for, for 40 s
    Then each model was held within 20 s

    Examples:
      | targets | rare |
      | 3       | 18   |
      | 4       | 24   |

  Scenario: a reservation does not keep a target from others once nobody waits for it
    Given a model that has reserved the next load of the only target
    When nobody waits for that model any more
    Then the target is not kept for it, and it keeps its turn for 10 s
