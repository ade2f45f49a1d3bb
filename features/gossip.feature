Feature: An accepted generation comes into force everywhere and is never reverted
  Simulates configuration nodes on a virtual clock and checks every node after
  each event.

  Background:
    Given 3 data centres of 3 config nodes with a generation in force

  Scenario Outline: a temporary fault, <fault>
    When generations are accepted while <fault>
    Then the latest generation is in force at every config node within 9 s
    And no config node reverted or applied an unaccepted generation

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
      | the platform is available intermittently     |

  Scenario Outline: a permanent fault, <fault>
    When generations are accepted and <fault>
    Then the latest generation is in force at every config node within 9 s
    And no config node reverted or applied an unaccepted generation

    Examples:
      | fault                                  |
      | the watch stays broken                        |
      | the watch stays silent                        |
      | the watch ends as compacted                   |
      | the watchers are killed                       |
      | the watchers stay frozen                      |
      | the watchers send older heads                 |
      | the watchers send heads with forged roots     |
      | the watchers send documents with forged content |
      | the watchers send truncated documents         |
      | the watchers send no documents                |

  Scenario: a new instance starts from its peers during a platform outage
    When the platform is down and a config node restarts
    Then the latest generation is in force at every config node within 9 s
    And no config node reverted or applied an unaccepted generation

  Scenario: a new instance with neither platform nor peers has nothing in force
    When a config node starts alone during an outage
    Then that config node has nothing in force after 60 s
    And the latest generation is in force at every config node within 9 s of healing

  Scenario: platform reads do not grow with the instances of a data centre
    When the platform reads of 3 and of 15 config nodes are counted for 200 s
    Then the larger data centre reads at most a quarter more often

  Scenario: changing one entry changes few documents
    When one entry of 2000 is changed
    Then at most 6 documents differ and each is small
