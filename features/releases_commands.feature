@processes
Feature: Operators manage the inventory from a command line or a CI job

  Scenario: commands against two running instances of two data centres
    Given two instances for operator commands, one target without fencing
    When these operator commands are run, each ends with its exit code and output
      | instance | command                                              | code | prints                                    |
      | i1       | check --inventory FIRST                              | 0    |                                           |
      | i1       | plan --inventory FIRST                               | 0    | + models/assistant                        |
      | i1       | apply --inventory FIRST --message start --who ana --wait | 0 | in force everywhere: generation 1         |
      | i2       | plan --inventory SECOND                              | 0    | version 1 -> 2 1 changes, 1 items to load |
      | i2       | apply --inventory SECOND --base 1 --who ana --wait   | 0    | in force everywhere: generation 2         |
      | i1       | apply --inventory THIRD --base 1 --who ben           | 3    | models/summaries: changed by ana in generation 2 |
      | i1       | apply --inventory OTHER --base 1 --who ben           | 0    | accepted: generation 3                    |
      | i1       | plan --inventory LARGE                               | 5    | would be refused: model 'summaries'       |
      | i1       | apply --inventory LARGE                              | 5    | no engine has more than 48000 MB          |
      | i1       | apply --inventory MANY                               | 5    | all engines together have 96000 MB        |
      | i1       | apply --inventory MANY                               | 5    | missing by data centre: d                 |
      | i1       | apply --inventory BROKEN                             | 2    | unknown model                             |
      | i2       | rollback --to 1 --who eva --message undo --wait      | 0    | in force everywhere: generation 4         |
      | i2       | rollback --to 9                                      | 5    | generation 9 is not in the history        |
      | i1       | history                                              | 0    | 'undo'                                    |
      | i1       | get                                                  | 0    | "generation": 4                           |
      | i1       | status                                               | 0    | "targets_without_fencing": [ "e2" ]       |
      | i1       | status                                               | 0    | "without_room": []                        |
      | i1       | drain --target e1                                    | 0    | draining: e1                              |
      | nobody   | apply --inventory FIRST                              | 1    | Cannot connect                            |
    Then both instances show target e1 as leaving
    And an instance that starts later shows target e1 as leaving
    And an operator without the secret is refused everything but health
