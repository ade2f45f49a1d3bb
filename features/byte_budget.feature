Feature: Who is read, refused or closed when the byte budget is used up
  The decisions alone, with a virtual clock and a budget of 1,000 KB: large bodies
  may use 750 KB of it, large answers 500 KB.

  Scenario Outline: large bodies are served in turn, small ones at once
    Given holdings of <held> KB
    When a body asks for <asked> KB
    Then the body <result>

    Examples:
      | held     | asked | result                   |
      | none     | 700   | is granted               |
      | none     | 3000  | is granted               |
      | 400      | 300   | is granted               |
      | 400      | 400   | waits                    |
      | 400, 400 | 100   | waits                    |
      | 700      | 64    | is granted as small      |
      | 700, 290 | 64    | is refused as small      |

  Scenario Outline: the ones that hold most for longest without progress end first
    Given holdings of <held> KB that made no progress for <idle> s
    And a body that waits for <asked> KB
    When evictions are decided
    Then holdings <ended> end as stalled

    Examples:
      | held          | idle    | asked | ended |
      | 300, 300      | 1, 1    | 300   | none  |
      | 300, 300      | 3, 0    | 300   | 1     |
      | 300, 300      | 3, 9    | 300   | 2     |
      | 100, 500      | 9, 3    | 300   | 2     |
      | 300, 300      | 3, 9    | 500   | 2, 1  |

  Scenario: a body that waits too long is refused, the next one is served
    Given holdings of 700 KB
    When a body asks for 300 KB
    And 5 s pass without room
    Then the waiting body ends as waited
    And after it and the holding are closed a body of 300 KB is granted

  Scenario Outline: connections idle for longest close when descriptors run short
    Given a limit of <most> descriptors and callers <callers>
    When <serving> requests are served and a caller connects
    Then callers <closed> are closed

    Examples: busy ones in brackets; 232 descriptors are kept for other uses
      | most | callers        | serving | closed |
      | 252  | a b c          | 0       | none   |
      | 252  | 20 callers     | 0       | c1     |
      | 252  | 20 callers     | 3       | c1 c2 c3 c4 |
      | 252  | 20 busy callers | 0      | none   |

  # Guards against bodies that stop short and keep all other callers out.
  Scenario Outline: bodies that have stalled give way when descriptors run short
    Given a limit of 252 descriptors and callers <callers>
    And bodies that went on <ago> s ago, of callers <reading>
    When <serving> requests are served and a caller connects
    Then callers <closed> are closed
    And the bodies of callers <ended> end

    Examples: 232 descriptors are kept for other uses
      | callers         | reading       | ago          | serving | closed | ended |
      | 20 busy callers | c3, c2        | 9, 3         | 0       | none   | c3    |
      | 20 busy callers | c3, c2        | 9, 3         | 1       | none   | c3 c2 |
      | 20 busy callers | c3, c2        | 9, 3         | 5       | none   | c3 c2 |
      | 20 busy callers | c3, c2        | 1.9, 1       | 0       | none   | none  |
      | 20 callers      | c1, c2        | 9, 9         | 0       | c3     | none  |
      | 20 busy callers | c3 unread, c2 | 9, 3         | 0       | none   | c2    |
      | 20 busy callers | c3 unread     | 9            | 0       | none   | none  |
      | 20 busy callers | c3, c2, c3    | 9, 3, 1      | 0       | none   | c2    |
      | 20 busy callers | c3, c2 ended  | 9, 3         | 5       | none   | c3    |
