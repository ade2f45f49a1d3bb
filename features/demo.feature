Feature: The demo is a first look that works
  Every printed curl line is run as it stands.

  Scenario: the printed lines of the demo
    Given the demo runs as a process
    When each curl line that the demo prints is run
    Then the demo's answers are
      | line     | status | contains                 |
      | streamed | 200    | data: [DONE]             |
      | booking  | 201    | "hall": "A1"             |
      | dump     | 200    | "instance": "demo"       |
    And the demo ends with exit code 0 on SIGTERM
