Feature: What one instance learns from the store is relayed to the others
  Calls to the store don't grow with the number of instances, and nothing is learned
  later than the users' bounds when the relay fails.

  Scenario Outline: calls to the store with <count> instances
    Given <count> instances, of which one tells the others
    When targets load models all the time and 6 versions are accepted in 60 s
    Then an instance makes at most <most> calls a second to the store
    And those that are told make none after their start

    Examples:
      | count | most |
      | 9     | 0.6  |
      | 89    | 0.3  |

  Scenario Outline: a change is known in time when <case>
    Given 6 instances, of which one tells the others
    When versions are accepted and targets leave while <case>, seed <seed>
    Then each instance that reaches the store knows each change within 2 s
    And no instance ever went back to an older version

    Examples:
      | case                                            | seed |
      | nothing fails                                   | 1    |
      | the publisher is killed                            | 1    |
      | the publisher is killed                            | 2    |
      | the publisher is suspended and resumed             | 1    |
      | the publisher is suspended and resumed             | 2    |
      | the publisher is suspended and resumed             | 3    |
      | the store is silent to the publisher               | 1    |
      | the store is silent to the publisher               | 2    |
      | the store turns the publisher away                 | 1    |
      | the publisher is cut off from the others           | 1    |
      | the publisher is cut off from the others           | 2    |
      | changes are lost on the way                     | 1    |
      | changes are too large to be sent                | 1    |
      | another instance takes over                     | 1    |
      | two instances tell at once                      | 1    |
      | an instance is cut off from the store           | 1    |

  Scenario: after a restored store no instance relies on what was told before
    Given 6 instances, of which one tells the others
    When the store is put back to a copy and the operator writes another version
    Then each instance has that version within 2 s
    And each lists the targets of the restored store

  Scenario: a target that the store may list again is not dropped by those who are told
    Given 6 instances, of which one tells the others
    When the publisher was cut off from the store and finds a target missing
    Then no instance drops the target before the store had time to list it again

  Scenario: an outage of the store costs few calls
    Given 40 instances, of which one tells the others
    When the store turns all of them away for 6 s
    Then an instance makes at most 2.5 calls a second to the store meanwhile

  Scenario: all instances start at once
    Given 89 instances, of which one tells the others
    When they have started for 3 s
    Then each made at most 4 calls to the store

  Scenario Outline: store changes are refused: <case>
    Given 2 instances, of which one tells the others
    When it gets store changes with <case>
    Then nothing changes and the reason is logged

    Examples:
      | case                    |
      | no content              |
      | text that is no archive |
      | an endless archive      |
      | half an archive         |
      | objects without names   |
      | removed names as number |
