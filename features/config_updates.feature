Feature: A new version of the routes is in force in time on a slow link
  The store sends a watch every version since the one it was asked for.

  Scenario Outline: <case>
    Given a store with <size> kB of routes, reached over <mbps> Mbit/s of the link
    When <count> versions are accepted every <gap> s
    Then each version is in force within <most> s of its acceptance
    And no version replaced a later one

    Examples:
      | case                               | size | mbps | count | gap  | most |
      | one change                         | 40   | 5    | 1     | 1    | 1.5  |
      | changes in quick succession        | 40   | 5    | 25    | 0.08 | 2    |
      | one change among many routes       | 400  | 10   | 1     | 1    | 1.5  |
      | many routes and a storm of changes | 400  | 10   | 12    | 0.33 | 3    |
      | the same on a busier link          | 400  | 5    | 12    | 0.33 | 3    |
      | a long storm of many routes        | 400  | 10   | 60    | 0.33 | 3    |

  Scenario: a listing that takes long is not given up while bytes arrive
    Given a store that sends a listing in 20 parts, one every 0.1 s
    When the listing is read by a client that waits 1 s for each part
    Then the listing is whole
    And a listing that stops in the middle fails in the end

  Scenario: a watch that the store never answers is given up in time
    When a watch is asked for that the store accepts and never answers
    Then it fails within 6 s
