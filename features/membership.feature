Feature: Membership, leaving targets and exchange of loads
  Simulates configuration nodes on a virtual clock.

  Background:
    Given 3 data centres of 3 config nodes with a generation in force

  Scenario Outline: liveness of an instance as judged by its peers, <event>
    When the config node d1-i2 <event>
    Then its peers consider it <liveness> within <bound> s

    Examples:
      | event                      | liveness | bound |
      | runs                       | alive    | 1     |
      | is killed                  | dead     | 14    |
      | is frozen for 6 s          | suspect  | 1     |
      | is frozen for 6 s and runs | alive    | 3     |
      | is frozen for 20 s         | dead     | 1     |
      | resumes after 20 s         | alive    | 3     |
      | begins a planned stop      | leaving  | 1     |
      | restarts                   | alive    | 3     |
      | restarts with its clock set back | alive | 5  |
      | stops as planned and restarts | alive | 3     |

  Scenario: outdated gossip does not make a leaving instance alive again
    When the config node d1-i2 begins a planned stop
    And outdated gossip about the config node d1-i2 is received
    Then its peers consider it leaving within 1 s

  Scenario Outline: every instance learns that a target is leaving, <trouble>
    When a config node learns that target e7 leaves while <trouble>
    Then every config node gives target e7 no new work within 3 s
    And no config node emits it twice

    Examples:
      | trouble                                   |
      | nothing fails                             |
      | the platform is down                      |
      | a third of the peer messages is lost      |
      | the instance that learned it dies at once |
      | two instances of each data centre are dead |

  Scenario: a load is sent to each peer of the data centre and to no other instance
    When a load with shard d1 is sent by the config node d1-i2
    Then d1-i1 and d1-i3 have emitted that load and no config node of d2
    When the config node d1-i2 is killed
    Then d1-i1 and d1-i3 emit that it is gone within 14 s

  Scenario: an older load is ignored
    When load 5 and then load 4 are sent by the config node d1-i2
    Then load 5 of the config node is kept

  Scenario Outline: a request for an adapter reaches the holder of its shard, <case>
    When d1-i1 wants an adapter on a target while <case>
    Then the adapter request is emitted at <where>

    Examples:
      | case                        | where  |
      | d1-i2 holds the shard       | d1-i2  |
      | d1-i1 holds the shard       | d1-i1  |
      | nobody holds the shard      | nobody |
      | the shard is d2's at d2-i3  | d2-i3  |

  Scenario: instances discover each other from the platform's list alone
    Given two config nodes without seeds
    When each receives the platform's list of instances
    Then they know each other within 5 s

  Scenario: instances discover each other through other data centres
    Given 3 data centres of 3 config nodes whose only seed is d1-i1
    Then all config nodes of each data centre know each other within 15 s

  Scenario: a partition longer than members are remembered heals
    When d1-i1 is cut off from all config nodes for 700 s
    Then all config nodes of d1 know each other within 30 s

  Scenario: a stable data centre has exactly one watcher and three bridges
    Given 3 data centres of 6 config nodes with a generation in force
    Then each data centre has 1 watcher and 3 bridges

  Scenario Outline: how an instance handles a leaving target, <case>
    When an instance receives for target e7 "<events>"
    Then it considers target e7 <state> and tells its peers <told> times

    Examples:
      | case                             | events                          | state   | told |
      | never leaving                    | report a                        | serving | 0    |
      | reported by the target           | report a, leaving report a      | leaving | 1    |
      | the report is repeated           | leaving report a, leaving report a | leaving | 1 |
      | listed as leaving                | report a, listed leaving        | leaving | 1    |
      | told by a peer                   | report a, told a                | leaving | 0    |
      | told before it is known          | told a, report a                | leaving | 0    |
      | told of an earlier incarnation   | report b, told a                | serving | 0    |
      | it restarts afterwards           | report a, told a, report b      | serving | 0    |
      | told of it before a new one      | told a, report b                | serving | 0    |
      | drained whatever the incarnation | report a, told any, report b    | leaving | 0    |
