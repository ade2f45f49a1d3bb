Feature: Callers of many models share targets that hold few of them
  Each target holds three models, and four times as many are asked for. The busy
  models change each 8 s, and rare ones are asked for in bursts.

  Scenario Outline: <targets> targets serve most callers of <models> models
    Given the <size> deployment
    When its load is simulated for <for_s> s
    Then at most 1 + 1 in 20 of the models and adapters asked for often was never served
    And callers earn at least <share> of the value of their requests
    And no target was ordered to hold more than fits
    And the weight store was asked for at most its rate

    Examples:
      | size  | targets | models | for_s | share |
      | small | 14      | 56     | 34    | 0.75  |
      | large | 50      | 200    | 12    | 0.8   |

  Scenario Outline: when a model needs a second replica at targets of <slots> slots
    Given targets of <slots> slots, one of which runs <runs> requests of a model
    Then another replica of it is <needed>

    Examples:
      | slots | runs | needed     |
      | 14    | 6    | not needed |
      | 14    | 8    | needed     |
      | 64    | 18   | not needed |
      | 64    | 20   | needed     |

  Scenario Outline: memory that stays free counts where models differ in size
    Given models that need <sizes> GB
    Then leaving half of a target's memory unused costs <cost>

    Examples:
      | sizes      | cost |
      | 70, 70     | 0    |
      | 34.3, 72.7 | 20   |

  Scenario: a restarted target keeps room for a load that may still reach it
    Given a target that did not answer an order to load a model
    When it restarts
    Then there is room for 2 other models, and for 3 after 6 s
