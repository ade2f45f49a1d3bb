@processes
Feature: Targets that name a limit on the rate of requests, on the whole path
  The instances are separate processes, the targets are stand-ins. From 2 s on some
  targets name in each answer how many requests a second they take from all instances
  together. From 3 s after that, a target gets in no 4 s more than one and a half times
  what that allows and 5 more, from instances that had relayed such an answer half a
  second before.

  Scenario Outline: a limited target gets no more than it takes, <case>
    Given <instances> instances and <targets> targets of which <limited> will name <limit> a second
    When callers send <per_s> requests a second by <route> for 14 s, <event>
    Then no limited target gets more than its limit allows
    And each limited target gets at least half of its limit from 5 s on
    And <served>
    And callers that are refused are told at once when to come back

    Examples:
      | case               | instances | targets | limited | limit | per_s | route  | event                       | served                                |
      | alone              | 3         | 1       | 1       | 2     | 24    | any    | nothing happens             | some are refused                      |
      | others can serve   | 7         | 4       | 1       | 1.9   | 40    | any    | nothing happens             | 0.9 of the callers are served in 1 s  |
      | under one in 4 s   | 7         | 4       | 1       | 0.4   | 40    | any    | nothing happens             | 0.9 of the callers are served in 1 s  |
      | not idempotent     | 7         | 4       | 1       | 2     | 40    | once   | nothing happens             | 0.9 of the callers are served in 1 s  |
      | engines            | 5         | 4       | 1       | 2     | 40    | night  | nothing happens             | 0.9 of the callers are served in 1 s  |
      | one busy instance  | 7         | 1       | 1       | 3     | 24    | any    | i1 gets nine of ten         | some are refused                      |
      | all limited        | 5         | 3       | 3       | 2     | 24    | any    | nothing happens             | some are refused                      |
      | one is killed      | 5         | 3       | 1       | 2     | 30    | any    | i1 is killed at 7 s         | 0.8 of the callers are served in 1 s  |
      | store offline      | 7         | 4       | 1       | 2     | 40    | any    | the store is away from 4 s  | 0.9 of the callers are served in 1 s  |
      | many instances     | 24        | 4       | 1       | 2     | 40    | any    | nothing happens             | 0.9 of the callers are served in 1 s  |

  Scenario: a limit that falls
    Given 5 instances and 3 targets of which 1 will name 12 a second
    When callers send 40 requests a second by any for 16 s, the limit falls to 2 at 6 s
    Then no limited target gets more than its limit allows

  Scenario: a limit above what is asked
    Given 5 instances and 4 targets of which 1 will name 20 a second
    When callers send 20 requests a second by any for 12 s, nothing happens
    Then 0.9 of the callers are served in 1 s
    And the limited target gets at least half of an even share

  Scenario: a limit that is named no more
    Given 5 instances and 2 targets of which 1 will name 1 a second
    When callers send 30 requests a second by any for 16 s, the limit ends at 8 s
    Then the limited target gets at least half of an even share from 12 s on
    And the logs of an instance tell when the limit came and went
    And no caller is told of the limit

  Scenario: a model at a limited target alone is loaded at another
    Given 3 instances and 3 targets of which 1 will name 1 a second, alone with m3
    When callers send 10 requests a second for m3 for 14 s, nothing happens
    Then no limited target gets more than its limit allows
    And 0.9 of the callers from 10 s on are served in 1 s
