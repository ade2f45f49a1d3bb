Feature: What a version of the configuration changes takes effect everywhere
  The holder of the placement lease keeps planners, which are built from a version. A
  later version reaches them, or models are never loaded, or targets are overloaded.

  Scenario Outline: a version that <change>
    Given an instance that gives orders, with services a and b of 2 targets each
    And each target has 220 GB, and models of 70 GB: m1 to m6, of which m6 isn't held
    When a version <change>, and requests wait for <wanted>
    Then <loaded> are loaded within 12 s
    And no target is ordered over its places, or its memory by any size since the load

    Examples:
      | change                                    | wanted     | loaded  |
      | changes nothing                           | a m6       | a m6    |
      | adds m7 and m8 to a                       | a m7, m8   | a m7 m8 |
      | lets the models of a take 110 GB          | a m6       | a m6    |
      | lets the models of a take 105 GB, then 70 | a m6       | a m6    |
      | drops m1 to m3 from a                     | a m6       | a m6    |
      | lets the targets of a hold 1 adapter      | a m1/x, m1/y | a m1/x |
      | drops m6 of a, which is being loaded      | a m6       | nothing |
      | drops b                                   | a m6       | a m6    |
      | drops b and adds it again                 | b m6       | b m6    |
      | gives b no models, then others            | b m9       | b m9    |

  Scenario: loads from the weight store keep to the rate of the newest version
    Given a limit of 1 load a second from the weight store, in windows of 5 s
    When a version allows 4 a second, and a later one 1 again
    Then 7, 22 and no further loads may start in a window

  Scenario: what was learned of dropped services and models is forgotten
    Given an instance that served 40 services, each of a version of its own
    When their retries are over and a version with one service comes into force
    Then it reports the demand for the models of that service alone
    And it keeps one retry budget

  Scenario Outline: a new holder's views name <named> instances
    Given a holder that knows of <known> instances and gets reports of <reporting>
    When it sends a view <after_s> s after it took the lease
    Then the view names <named> instances

    Examples:
      | known | reporting | after_s | named |
      | 24    | 1         | 0.1     | 24    |
      | 24    | 23        | 1.5     | 24    |
      | 24    | 23        | 6       | 23    |
      | 7     | 9         | 0.1     | 9     |
      | 0     | 1         | 0.1     | 16    |
      | 0     | 3         | 6       | 3     |
