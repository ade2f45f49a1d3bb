Feature: A replica gets no new requests before it is unloaded

  Scenario Outline: a retiring replica, <case>
    Given a scheduler whose targets t0 and t1 hold model m0
    When t0's replica is announced as retiring <announced> and 20 requests come <wait_s> s later
    Then the retiring replica of t0 ran <runs> of them

    Examples:
      | case                      | announced            | wait_s | runs |
      | announced just now        | by the lease holder  | 0.1    | none |
      | announced recently        | by the lease holder  | 4.0    | none |
      | no longer announced       | by the lease holder  | 6.0    | some |
      | of another model          | for another model    | 0.1    | some |

  Scenario Outline: new requests while version 2 of a model <case>
    Given a scheduler whose targets t0 and t1 hold model m0
    When version 2 of m0 is accepted and <case>
    Then new requests for m0 run on version <version>

    Examples:
      | case                      | version |
      | no target holds it        | 1       |
      | a target starts to load   | 1       |
      | a target holds it ready   | 2       |
      | its only holder is gone   | 1       |

  Scenario Outline: a large load <case>
    Given an instance that has just announced a load of 400 items
    When 0.5 s later it could announce a load <case>
    Then the peer is sent <messages> more load

    Examples:
      | case                       | messages |
      | of the same size           | no       |
      | with a retiring replica    | one      |
