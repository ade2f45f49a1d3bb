Feature: Faults at every step
  Each cell of the fault matrix is checked against all eight promises. Some
  cells run here; `marjoramstage bench faults` runs the whole matrix.

  Scenario Outline: a cell of the fault matrix keeps every promise
    When the fault cell <faults> runs at <step> with seed 3
    Then the fault cell broke no promise

    Examples:
      | faults                            | step                        |
      | order-lost                        | order.new-version           |
      | order-late                        | order.load                  |
      | target-killed                     | request.waiting-and-running |
      | service-killed                    | request.waiting-and-running |
      | instance-killed                   | lease.renewal               |
      | platform-down                     | apply.accepted              |
      | platform-slow                     | order.load                  |
      | answer-lost                       | order.load                  |
      | lease-lapsed-while-paused         | lease.renewal               |
      | operators-racing                  | apply.accepted              |
      | data-centres-cut-apart            | apply.accepted              |
      | cut-off-from-platform             | drain.target                |
      | demand-surge                      | join.target                 |
      | lease-lapsed-while-paused+order-late | order.unload             |
      | platform-down+target-killed       | join.instance               |

  Scenario Outline: random faults keep every promise
    When random faults run with seed <seed>
    Then the fault cell broke no promise

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

  Scenario Outline: the check of each promise can fail
    Given the code is changed so that <change>
    When the fault cell <faults> runs at <step> with seed 3
    Then the fault cell broke the promise <promise>

    Examples:
      | change                                  | faults                     | step                        | promise                    |
      | a reservation ignores what is held      | target-killed              | join.target                 | memory-never-overcommitted |
      | a lost order is never repeated          | order-lost                 | order.new-version           | every-model-reachable      |
      | a waiting request is dropped            | demand-surge               | request.waiting-and-running | whole-answer               |
      | a lost attempt is refused as not run    | target-killed              | request.waiting-and-running | not-run-is-true            |
      | a broken attempt counts as not run      | target-killed              | request.waiting-and-running | at-most-once               |
      | a leaving target stays open             | demand-surge               | drain.target                | leaving-gets-no-work       |
      | an old version is unloaded at once      | demand-surge               | apply.accepted              | planned-stop-cuts-nothing  |
      | a later head is not taken               | demand-surge               | apply.accepted              | accepted-stays-in-force    |

  Scenario: a cell with the same seed gives the same counts twice
    When the fault cell order-late at order.load runs twice with seed 5
    Then both runs of the fault cell give the same counts

  Scenario: cells that the matrix does not cover are counted separately
    Given a fault matrix of 3 passed, 1 failed and 1 known red cells
    Then its summary counts 3 passed, 1 failed, 1 known red and each uncovered cell
