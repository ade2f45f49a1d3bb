Feature: Log lines of an instance are bounded and never wait for their reader

  Scenario: a reader that stops reading delays no request
    Given a log whose reader has stopped reading
    When 5000 lines are written on a virtual clock
    Then each came back in the same moment and those that did not fit are counted
    When the reader reads again and one more line is written
    Then what it reads is whole lines only

  Scenario Outline: <count> events in <span> s give at most <lines> lines
    Given an event log of 40 lines a second
    When <count> events are logged in <span> s
    Then at most <lines> lines were written and the next one tells what was dropped

    Examples:
      | count | span | lines |
      | 30    | 1    | 30    |
      | 500   | 1    | 80    |
      | 1000  | 5    | 240   |

  Scenario: the story of a request
    Given a log file with lines of two requests, of a collector and of no JSON
    When the story of the first is asked for
    Then its lines come in order, with their reasons, and no others
    And the story of a request that is not there ends with exit code 1
