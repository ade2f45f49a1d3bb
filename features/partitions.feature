@processes
Feature: Network partitions of data centres and instances
  The generation in force is kept; missed generations arrive after healing.

  Background:
    Given 3 data centres of 3 config nodes with a generation in force

  Scenario: an instance with neither platform nor peers reports what it waits for
    Given a separate instance that reaches neither platform nor peers
    Then it is not ready and reports that the platform is unavailable and 0 peers are met
    And it exits with code 0 on SIGTERM while the platform is unreachable

  Scenario Outline: a generation comes into force despite a partition, <cut>
    When config nodes are partitioned so that <cut>
    And a generation is accepted during the partition
    Then the latest generation is in force at every config node within 9 s
    And no config node reverted or applied an unaccepted generation

    Examples:
      | cut                                                |
      | d1 cannot reach the platform                       |
      | d1 cannot reach the other data centres             |
      | no instance of d1 reaches another one of d1        |
      | d1-i1 receives nothing from d1                     |
      | d1 receives nothing from d1-i1                     |
      | d1 reaches the others but receives nothing from them |
      | only d3-i1 reaches the platform                    |

  Scenario Outline: a generation comes into force after a partition, <cut>
    When config nodes are partitioned so that <cut>
    And a generation is accepted during the partition
    Then the partitioned config nodes keep the generation in force
    When the partition is healed
    Then the latest generation is in force at every config node within 9 s
    And no config node reverted or applied an unaccepted generation

    Examples:
      | cut                                                |
      | d1 reaches neither platform nor other data centres |
      | d1-i1 reaches nothing                              |
      | no instance reaches anything                       |
