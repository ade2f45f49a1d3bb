@processes
Feature: The demo works as printed
  Each curl command that the demo prints is run unchanged.

  Scenario: the printed lines of the demo
    Given the demo runs as a process
    When each curl line that the demo prints is run
    Then the demo's answers are
      | line     | status | contains                 |
      | streamed | 200    | data: [DONE]             |
      | booking  | 201    | "hall": "A1"             |
      | dump     | 200    | "instance": "demo"       |
    And the demo ends with exit code 0 on SIGTERM
