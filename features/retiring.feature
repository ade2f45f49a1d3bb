Feature: A copy gets no new work before it is unloaded

  Scenario Outline: a retiring copy, <case>
    Given a retiring world where targets t0 and t1 hold model m0
    When t0's copy is told to retire <told> and 20 requests come <wait_s> s later
    Then the retiring copy of t0 ran <runs> of them

    Examples:
      | case                      | told                 | wait_s | runs |
      | heard just now            | by the lease holder  | 0.1    | none |
      | heard within the time     | by the lease holder  | 4.0    | none |
      | no longer told of         | by the lease holder  | 6.0    | some |
      | of a model not asked for  | for another model    | 0.1    | some |

  Scenario Outline: new work while version 2 of a model <case>
    Given a retiring world where targets t0 and t1 hold model m0
    When version 2 of m0 is accepted and <case>
    Then new requests for m0 run on version <version>

    Examples:
      | case                      | version |
      | no target holds it        | 1       |
      | a target begins to load   | 1       |
      | a target holds it ready   | 2       |
      | its only holder is gone   | 1       |

  Scenario Outline: a large load <case>
    Given a retiring world whose instance has just told a load of 400 items
    When 0.5 s later it would tell a load <case>
    Then the peer is sent <messages> more load

    Examples:
      | case                       | messages |
      | of the same size           | no       |
      | with a copy that retires   | one      |
