Feature: An accepted generation is in force everywhere and stays
  Configuration nodes on a virtual clock; every node is checked at each step.

  Background:
    Given 3 data centres of 3 config nodes with a generation in force

  Scenario Outline: a fault that ends, <fault>
    When generations are accepted while <fault>
    Then the latest generation is in force at every config node within 9 s
    And no config node reverted or held what was never accepted

    Examples:
      | fault                                        |
      | the platform is down for 120 s               |
      | the platform is slow by 5 s a call           |
      | reads come from a lagging replica            |
      | the watch is broken and reads are stale      |
      | the platform is down and a watcher is killed |
      | every watcher is frozen for 30 s             |
      | an instance restarts at each step            |
      | every instance restarts in turn              |
      | a third of the peer messages is lost         |
      | the platform comes and goes                  |

  Scenario Outline: a fault that lasts, <fault>
    When generations are accepted and <fault>
    Then the latest generation is in force at every config node within 9 s
    And no config node reverted or held what was never accepted

    Examples:
      | fault                                  |
      | the watch is broken for good           |
      | the watch is silent for good           |
      | the watch ends as compacted            |
      | the watchers are killed                |
      | the watchers are frozen for good       |
      | the watchers send older heads                 |
      | the watchers send heads of forged roots       |
      | the watchers send documents of forged content |
      | the watchers send half documents              |
      | the watchers send no documents       |

  Scenario: a new instance starts from its peers during an outage
    When the platform is down and a config node starts anew
    Then the latest generation is in force at every config node within 9 s
    And no config node reverted or held what was never accepted

  Scenario: a new instance with neither platform nor peers has nothing in force
    When a config node starts alone during an outage
    Then that config node has nothing in force after 60 s
    And the latest generation is in force at every config node within 9 s of healing

  Scenario: platform reads do not grow with the instances of a data centre
    When the platform reads of 3 and of 15 config nodes are counted for 200 s
    Then the larger data centre reads at most a quarter more often

  Scenario: documents of a changed entry are few
    When one entry of 2000 is changed
    Then at most 6 documents differ and each is small
