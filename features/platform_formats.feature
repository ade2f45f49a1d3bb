Feature: Input from the users' platform is validated when it is decoded
  Malformed input gives no target, route or settings; valid input beside it is kept.

  Scenario Outline: a settings file <case>
    Given the settings file of a machine
    When its line "<key>" becomes "<value>"
    Then reading it gives <result>

    Examples:
      | case                    | key            | value           | result                  |
      | as it is                |                |                 | the machine's settings  |
      | with an unknown field   | later.field    | 7               | the machine's settings  |
      | without a name          | node_name      |                 | an error that names it  |
      | without a front address | listen.front   |                 | an error that names it  |
      | without ports           | port_range     |                 | an error that names it  |
      | with an invalid number  | port_range     | a,b             | an error                |
      | with an invalid bound   | bounds.grace_s | soon            | an error                |

  Scenario Outline: the object of a target <case>
    When a target's object has "<field>" set to <value>
    Then it describes <result>

    Examples:
      | case                     | field    | value               | result            |
      | as it is                 | version  | "v1"                | a ready target of software "v1" |
      | without a version        | version  | null                | a ready target of software ""   |
      | with a number as version | version  | 7                   | a ready target of software ""   |
      | with a long version      | version  | "VVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVVV" | a ready target of software ""   |
      | that drains              | state    | "draining"          | a leaving target  |
      | in an unknown state      | state    | "sleepy"            | no target         |
      | without a service        | service  | null                | no target         |
      | with an invalid address  | addr     | "10.1.1.1"          | no target         |
      | with a port out of range | addr     | "10.1.1.1:99999"    | no target         |
      | with text for slots      | slots    | "64"                | no target         |
      | with an invalid start    | born     | 1.5                 | no target         |
      | with invalid models      | models   | [{"version": 1}]    | no target         |
      | that is not an object    |          | [1, 2]              | no target         |
      | as text                  |          | "{not json"         | no target         |
      | with no models           | models   | null                | a ready target    |

  Scenario Outline: a configuration <case>
    When a configuration has <change>
    Then it gives <result>

    Examples:
      | case                       | change                         | result                    |
      | as it is                   | nothing changed                | routes a, b               |
      | with an unknown service    | route b on service nowhere     | routes a                  |
      | as text                    | its bytes as text              | routes a, b               |
      | without a version          | no version                     | a reason, no routes       |
      | without services           | no services                    | a reason, no routes       |
      | with an invalid timeout    | an invalid timeout             | a reason, no routes       |

  Scenario Outline: header <name> of a caller
    When a caller sends "<name>: <value>" to a target
    Then the target is sent <result>

    Examples:
      | name            | value       | result      |
      | X-Anything      | kept        | kept        |
      | Model           | m1/a2       | m1/a2       |
      | Prompt-Prefix   | ab:10,cd:4  | ab:10,cd:4  |
      | Hold            | h1          | nothing     |
      | Pin-Ms          | 900         | nothing     |
      | Kv-From         | 1.2.3.4:5/6 | nothing     |
      | Kv-Backup       | 1.2.3.4:5   | nothing     |
      | Kv-Fetch        | 1.2.3.4:5   | nothing     |
      | Expect-Version  | 9           | nothing     |
      | Expect-Instance | other       | i-1         |
      | Urgency         | 0           | 2           |
      | Deadline-Ms     | 60000       | 1500        |
      | Connection      | X-Private   | nothing     |
      | X-Private       | named above | nothing     |
      | Keep-Alive      | timeout=5   | nothing     |
      | Transfer-Encoding | chunked   | nothing     |

  Scenario Outline: an answer with status <status> and header "<header>"
    Then it is <proof> that the request did not run

    Examples:
      | status | header      | proof    |
      | 503    | Not-Run: 1  | proof    |
      | 421    |             | proof    |
      | 429    | Not-Run: 1  | proof    |
      | 503    |             | no proof |
      | 500    |             | no proof |
      | 200    |             | no proof |

  Scenario: an order and a report
    Then an order to load m1/a3 is encoded with its count, holder and fencing number
    And a report with models, adapters in transit and cached weights is decoded
    And a malformed report is rejected with a reason
