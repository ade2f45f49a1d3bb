Feature: Customers share the targets of a service while requests wait
  A fault here lets one customer that sends more than usual take the service of others,
  or keeps targets idle that someone could use.

  Scenario Outline: <hot> of 16 customers sends ten times its usual, <share> of capacity in all, seed <seed>
    When <hot> sends 10 times its usual where all use <share> of the targets, seed <seed>
    Then each other customer loses at most 0.05 of its service, of each class too
    And no customer is served less than a quarter as often as all
    And the more urgent class is not served less than the other
    And as many are served in all as without shares, but for 0.04
    And without shares another customer loses more than <loss>

    Examples:
      | hot | share | seed | loss |
      | c0  | 0.55  | 1    | 0.2  |
      | c0  | 0.55  | 2    | 0.2  |
      | c0  | 0.75  | 1    | 0.4  |
      | c3  | 0.75  | 1    | 0.2  |
      | c3  | 0.75  | 2    | 0.2  |
      | c8  | 0.75  | 1    | 0.0  |

  Scenario: more is asked for than the targets run, by all
    When all send 1.5 times what the targets run, seed 1
    Then no customer is served less than a quarter as often as all
    And the more urgent class is not served less than the other
    And customers that ask for less than an equal share are served 0.95 at least

  Scenario: a higher priority goes before all others
    When c0 has priority 0 and the others 1, and c0 sends 10 times its usual
    Then c0 is served 0.95 at least

  Scenario: a customer that used what nobody else could is not kept waiting for long
    Then after 1000 requests of one customer it is ahead by 64 at most

  Scenario: one request of another customer among many that wait at an instance
    When one customer has 20 requests at a full target and another sends one
    Then the one is sent among the first two of those that wait
