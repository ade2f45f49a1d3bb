Feature: The log of an instance is rate-limited and never blocks on its reader

  Scenario: a reader that stops reading delays no request
    Given a log whose reader has stopped reading
    When 5000 lines are written on a virtual clock
    Then no write blocked and the lines that did not fit are counted
    When the reader reads again and one more line is written
    Then it reads complete lines only

  Scenario Outline: <count> events in <span> s give at most <lines> lines
    Given an event log of 40 lines a second
    When <count> events are logged in <span> s
    Then at most <lines> lines were written and the next one counts the dropped ones

    Examples:
      | count | span | lines |
      | 30    | 1    | 30    |
      | 500   | 1    | 80    |
      | 1000  | 5    | 240   |

  Scenario: regular summaries are written while other lines are over the limit
    Given an event log of 40 lines a second
    When 1000 events and 5 summaries are logged in 5 s
    Then each summary was written

  Scenario: the story command prints the log lines of one request
    Given a log file with lines of two requests, collector prefixes and invalid JSON
    When the story of the first request is printed
    Then it has its lines in order, with their reasons, and no others
    And the story of an unknown request ends with exit code 1
