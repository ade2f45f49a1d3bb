Feature: Instances know who runs, who leaves and who holds what
  Configuration nodes on a virtual clock.

  Background:
    Given 3 data centres of 3 config nodes with a generation in force

  Scenario Outline: what peers take an instance for, <event>
    When the config node d1-i2 <event>
    Then its peers take it for <liveness> within <bound> s

    Examples:
      | event                      | liveness | bound |
      | runs                       | alive    | 1     |
      | is killed                  | dead     | 14    |
      | is frozen for 6 s          | suspect  | 1     |
      | is frozen for 6 s and runs | alive    | 3     |
      | is frozen for 20 s         | dead     | 1     |
      | thaws after 20 s           | alive    | 3     |
      | begins a planned stop      | leaving  | 1     |
      | restarts                   | alive    | 3     |
      | restarts with its clock set back | alive | 5  |
      | stops as planned and restarts | alive | 3     |

  Scenario: a leaving instance is not taken for serving by old news
    When the config node d1-i2 begins a planned stop
    And old news of the config node d1-i2 is heard again
    Then its peers take it for leaving within 1 s

  Scenario Outline: a leaving target is known everywhere, <trouble>
    When a config node learns that target e7 leaves while <trouble>
    Then every config node gives target e7 no new work within 3 s
    And no config node learns it twice

    Examples:
      | trouble                                   |
      | nothing fails                             |
      | the platform is down                      |
      | a third of the peer messages is lost      |
      | the instance that learned it dies at once |
      | two instances of each data centre are dead |

  Scenario: a load reaches each peer of the data centre and no other one
    When a load with shard d1 is told by the config node d1-i2
    Then d1-i1 and d1-i3 have emitted that load and no config node of d2
    When the config node d1-i2 is killed
    Then d1-i1 and d1-i3 emit that it is gone within 14 s

  Scenario: an older load changes nothing
    When load 5 and then load 4 are told by the config node d1-i2
    Then load 5 of the config node is kept

  Scenario Outline: a wish for an adapter reaches the holder of its shard, <case>
    When d1-i1 wants an adapter on a target while <case>
    Then the wish is emitted at <where>

    Examples:
      | case                        | where  |
      | d1-i2 holds the shard       | d1-i2  |
      | d1-i1 holds the shard       | d1-i1  |
      | nobody holds the shard      | nobody |
      | the shard is d2's at d2-i3  | d2-i3  |

  Scenario: instances find each other by the platform's list alone
    Given two config nodes without seeds
    When each is told the platform's list of instances
    Then they know each other within 5 s

  Scenario: instances find each other through other data centres
    Given 3 data centres of 3 config nodes whose only seed is d1-i1
    Then all config nodes of each data centre know each other within 15 s

  Scenario: a partition longer than memory of its members heals
    When d1-i1 is cut off from all config nodes for 700 s
    Then all config nodes of d1 know each other within 30 s

  Scenario: exactly one watcher and three bridges in a settled data centre
    Given 3 data centres of 6 config nodes with a generation in force
    Then each data centre has 1 watcher and 3 bridges

  Scenario Outline: what an instance makes of a leaving target, <case>
    When an instance hears of target e7 "<events>"
    Then it takes target e7 for <state>, and tells its peers <told> times

    Examples:
      | case                             | events                          | state   | told |
      | never said                       | report a                        | serving | 0    |
      | its own report says so           | report a, leaving report a      | leaving | 1    |
      | the report is repeated           | leaving report a, leaving report a | leaving | 1 |
      | the list says so                 | report a, listed leaving        | leaving | 1    |
      | told by a peer                   | report a, told a                | leaving | 0    |
      | told before it is known          | told a, report a                | leaving | 0    |
      | told of an earlier start         | report b, told a                | serving | 0    |
      | it starts anew afterwards        | report a, told a, report b      | serving | 0    |
      | told of an earlier start, first  | told a, report b                | serving | 0    |
      | drained whatever the incarnation | report a, told any, report b    | leaving | 0    |
