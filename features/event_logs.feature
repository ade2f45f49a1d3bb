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

  # Guards against lines that readers of the log can't tell apart.
  Scenario Outline: a line of a component <case> has the event <event>
    When a component logs "peer connection closed" <case>
    Then its line has the event <event>

    Examples:
      | case                 | event                  |
      | without fields       | peer connection closed |
      | with fields          | peer connection closed |
      | with its own event   | own                    |

  # Guards against an entry of the store that fills the log with one line.
  Scenario Outline: a field that is <value> gives a line of at most 2000 bytes
    Given an event log of 40 lines a second
    When an event is logged with a field that is <value>
    Then its line has at most 2000 bytes, and begins the field as it is

    Examples:
      | value                            |
      | a text of 1000000 characters     |
      | a list of texts of that length   |
      | the reason of an invalid target  |
      | the reason of an invalid table   |

  Scenario: the story command prints the log lines of one request
    Given a log file with lines of two requests, collector prefixes and invalid JSON
    When the story of the first request is printed
    Then it has its lines in order, with their reasons, and no others
    And the story of an unknown request ends with exit code 1
