@processes
Feature: Logs, state dump and metrics of an instance
  They cover every request and contain no secret.

  Scenario: logs and dump of an instance with valid and invalid callers
    Given an observed instance with a secret and a metrics server that is down
    When valid and invalid callers and operators call the observed instance
    Then every observed answer has its status
      | call                   | status |
      | completion             | 200    |
      | booking                | 201    |
      | model without access   | 404    |
      | unknown credential     | 401    |
      | malformed HTTP         | 400    |
      | dump                   | 200    |
      | dump without secret    | 401    |
      | dump, wrong secret     | 401    |
      | dump, non-ASCII secret | 401    |
      | health without secret  | 200    |
    And no observed log line, dump or response contains a secret
      | secret                      |
      | the customer's credential   |
      | the unknown credential      |
      | the operators' secret       |
    And each observed log line is JSON with a prefix, and each request has a line with its id
    And the dump names its settings, generation, targets, ledgers, queues, requests and counters

  Scenario: a caller that stops reading
    Given an observed instance with a secret and a metrics server that is down
    When a caller asks the observed instance for a long stream and reads nothing
    Then the observed instance ends that connection and goes on serving
    And the observed instance has buffered less than 1000000 bytes for it

  Scenario Outline: a reader that <case>
    Given a slow-reader monitor with a timeout of 30 s
    When the reader's unsent bytes at steps of 10 s are "<unsent>"
    Then the monitored connection is <end>

    Examples:
      | case                | unsent                  | end     |
      | reads nothing       | 900 900 900 900         | aborted |
      | reads slowly        | 900 800 700 600 500     | kept    |
      | has read everything | 0 0 0 0 0 0             | kept    |
      | stops after a while | 900 0 900 900 900 900   | aborted |
      | reads just in time  | 900 900 900 899 899     | kept    |

  Scenario Outline: a metrics server that is <case>
    Given metrics for the address "<host>"
    When a thousand metrics of each type are sent
    Then no exception is raised and the values are recorded

    Examples:
      | case        | host            |
      | down        | 127.0.0.1       |
      | down, IPv6  | ::1             |
      | unreachable | 240.0.0.1       |
