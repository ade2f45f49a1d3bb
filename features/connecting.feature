Feature: Requests whose connection is being opened when their target wants no more
  The instance runs in the test's process, with real sockets. Connections to one of
  its targets stay in the making until that target has answered another request.

  Scenario Outline: fifty requests to <path> while a target <notice>, another serves
    Given a target t0 that <notice> in its first answer, and 50 requests to <path>
    When t0 answers while connections to it are being opened, and another serves
    Then t0 got 1 request, and each of the 50 was answered 200 by the other
    And no slot of t0 is taken, it is reachable and no retry was charged for the 50

    Examples:
      | path                 | notice       |
      | /once/x              | leaves       |
      | /once/x              | pauses 3     |
      | /any/x               | leaves       |
      | /any/x               | pauses 3     |
      | /stream/x            | leaves       |
      | /stream/x            | pauses 3     |
      | /resumable-stream/x  | leaves       |
      | /resumable-stream/x  | pauses 3     |

  Scenario Outline: fifty requests to <path> while their only target <notice>
    Given a target t0 that <notice> in its first answer, and 50 requests to <path>
    When t0 answers while connections to it are being opened, and no other serves
    Then t0 got 1 request, and each of the 50 was refused for <least> s or longer
    And no slot of t0 is taken, it is reachable and no retry was charged for the 50

    Examples:
      | path       | notice       | least |
      | /once/x    | leaves       | 0.3   |
      | /once/x    | pauses 3     | 2.5   |
      | /stream/x  | pauses 3     | 2.5   |

  Scenario: callers refused for lack of retry budget in a pause do not come back at once
    When a target turns 80 requests away together for 4 s and there is no retry budget
    Then they are refused for 3.9 to 5.0 s, at most 30 of them within 0.1 s

  Scenario Outline: fifty <calls> while a target <notice>
    Given a target t0 that <notice> in its first answer, and 50 requests to <calls>
    When t0 answers while connections to it are being opened, and no other serves
    Then t0 got 1 request and <sent> of the 50 <calls>

    Examples:
      | calls   | notice   | sent |
      | orders  | leaves   | none |
      | orders  | pauses 3 | none |
      | reports | leaves   | all  |
      | reports | pauses 3 | none |

  # Guards against an instance that takes its own delay for that of its targets.
  Scenario Outline: an instance that is busy for <busy> s while it opens a connection
    When an instance is busy for <busy> s after each connect call for a request to <path>
    Then the request is answered 200, and its only target stays reachable

    Examples:
      | busy | path                 |
      | 0.7  | /once/x              |
      | 0.7  | /any/x               |
      | 0.7  | /resumable-stream/x  |
      | 2.0  | /once/x              |

  Scenario: an instance that is busy while it checks whether a target is up
    Then an instance that is busy for 0.7 s finds that a target accepts connections

  # Guards against a busy instance that waits for a target that is gone.
  Scenario Outline: a request to <path> while its only target does not answer connects
    When a request to <path> meets a target that does not answer attempts to connect
    Then it is refused after 0.6 to 1.6 s, and the target is unreachable and not up

    Examples:
      | path                |
      | /once/x             |
      | /any/x              |
      | /resumable-stream/x |
