@processes
Feature: End-to-end requests through separate processes
  Callers can reach targets through any instance of the data centre.

  Scenario: each kind of request at each of three instances
    Given a platform, 2 engines, a service and 3 instances
    And the demo inventory is applied through instance i1
    When each instance is sent each kind of request
    Then every response is complete
      | request    | status | contains       |
      | streamed   | 200    | data: [DONE]   |
      | whole      | 200    | w0 w1 w2 w3    |
      | booking    | 201    | "hall": "A1"   |
      | lookup     | 200    | booked         |
      | unpaid     | 404    | not-run        |
      | stranger   | 401    | not-run        |
    And no request ran twice at a target
    And every process ends with exit code 0 on SIGTERM
