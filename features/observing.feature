Feature: What an instance shows of itself
  Logs, dump and metrics show every request and no secret.

  Scenario: logs and dump of an instance that serves good and bad callers
    Given an observed instance with a secret and a metrics server that is away
    When good and bad callers and operators call the observed instance
    Then every observed answer has its status
      | call                   | status |
      | whole                  | 200    |
      | booking                | 201    |
      | unpaid                 | 404    |
      | stranger               | 401    |
      | broken HTTP            | 400    |
      | dump                   | 200    |
      | dump without secret    | 401    |
      | dump, wrong secret     | 401    |
      | dump, not ASCII secret | 401    |
      | health without secret  | 200    |
    And no observed log line, dump or error answer holds a secret
      | secret                      |
      | the customer's credential   |
      | the stranger's credential   |
      | the operators' secret       |
    And each observed log line is JSON with a prefix, and each request has a line with its id
    And the dump names its settings, generation, targets, ledgers, queues, requests and counters

  Scenario: a caller that stops reading
    Given an observed instance with a secret and a metrics server that is away
    When a caller asks the observed instance for a long stream and reads nothing
    Then the observed instance ends that connection and goes on serving
    And the observed instance has buffered less than 1000000 bytes for it

  Scenario Outline: a reader that <case>
    Given a reader watch of 30 s
    When the reader's unsent bytes at steps of 10 s are "<unsent>"
    Then the watched connection is <end>

    Examples:
      | case                | unsent                  | end    |
      | stands still        | 900 900 900 900         | ended  |
      | reads a little      | 900 800 700 600 500     | kept   |
      | has read everything | 0 0 0 0 0 0             | kept   |
      | stops after a while | 900 0 900 900 900 900   | ended  |
      | reads just in time  | 900 900 900 899 899     | kept   |

  Scenario Outline: a metrics server that is <case>
    Given metrics for the address "<host>"
    When a thousand figures of each kind are sent
    Then nothing is raised and the counters hold them

    Examples:
      | case        | host            |
      | away        | 127.0.0.1       |
      | away, IPv6  | ::1             |
      | unreachable | 240.0.0.1       |
