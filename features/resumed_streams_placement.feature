Feature: Models are loaded where streams can be resumed
  A stream may be resumed at targets of the version that began it alone, so a replica at
  another version does not serve it. Targets t0 and t1 run v1, t2 runs v2.

  Scenario Outline: a resumed stream finds no replica, as <case>
    Given a planner and targets that hold <t0>; <t1>; <t2>
    When 3 streams of <model> that v1 began wait to be resumed for 5 s
    Then the planner loads <loaded> at <where>

    Examples:
      | case                                  | t0             | t1             | t2          | model | loaded       | where    |
      | v2 alone has its model                | d1, d2, d3     | d4, d5, d6     | r1, d7, d8  | r1    | r1           | t0 or t1 |
      | no target has its model               | d1, d2, d3     | d4, d5, d6     | d7, d8, d9  | r1    | r1           | t0 or t1 |
      | v2 alone has its adapter              | r1, d1, d2     | d4, d5, d6     | r1, r1/a1   | r1/a1 | r1/a1        | t0       |
      | v1 has its model                      | r1, d1, d2     | d4, d5, d6     | d7, d8, d9  | r1    | nothing      | any      |

  Scenario: its model takes the place of one that fewer requests wait for
    Given a planner and targets that hold d1, d2, d3; d4, d5, d6; d7, d8, d9
    And a request waits for each of them
    When 3 streams of r1 that v1 began wait to be resumed for 5 s
    Then the planner loads r1 at t0 or t1

  Scenario: its model is loaded at a target that returns with its weights
    Given a planner and targets that hold d1, d2, d3; r1, d5, d6; d7, d8, d9
    And the engine t1 ends, while t0 runs 12 requests of each of its models
    When 3 streams of r1 that v1 began wait to be resumed for 1 s
    And the engine t1 starts again with its disk
    And 3 streams of r1 that v1 began wait to be resumed for 2 s
    Then the planner loads r1 at t1
