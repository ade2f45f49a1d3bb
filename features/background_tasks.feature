Feature: Background tasks that fail
  A task that ends for good leaves an instance serving without what it does. A signal,
  a fault in one call or a body that a library decodes must not do more harm.

  Scenario Outline: a task that <fault>
    Given an instance that keeps a task running
    When the task <fault>
    Then it has run <runs> times after 20 s, with pauses of <pauses> s between
    And each failure is logged and counted, and the process <ends>

    Examples:
      | fault                             | runs | pauses           | ends    |
      | fails 3 times                     | 4    | 0.2, 0.4, 0.8    | goes on |
      | returns 2 times                   | 3    | 0.2, 0.4         | goes on |
      | fails each time                   | 8    | 0.2, 0.4, 0.8    | goes on |
      | runs out of memory 1 times        | 2    | 0.2              | ends    |

  Scenario: a task that fails long after its start begins with the shortest pause
    Given an instance that keeps a task running
    When it fails 4 times and then after 40 s
    Then the pause after that is 0.2 s

  Scenario Outline: a fault of this program in <where>
    Given an instance that competes for the lease, with targets t1 and t2
    When a fault occurs in <where> for 3 s
    Then it gives orders within 15 s
    And it has logged between 1 and <most> failures of "<task>"

    Examples:
      | where                  | task          | most |
      | each read of the lease | lease call    | 6    |
      | each write of a lease  | lease call    | 6    |
      | each step of placement | placement     | 6    |
      | each report of targets | target report | 30   |

  Scenario: a timer that fails is logged and counted
    Given an instance that keeps a task running
    When a timer of its event loop fails
    Then a failure of "callback" is counted

  Scenario Outline: a body in <coding> reaches the handler as it was sent
    When a body in <coding> is sent <framing>
    Then the handler gets the same bytes and the header Content-Encoding

    Examples:
      | coding  | framing       |
      | gzip    | with a length |
      | gzip    | in chunks     |
      | deflate | with a length |
      | br      | with a length |
      | zstd    | with a length |
      | unknown | in chunks     |

  Scenario Outline: a SIGHUP while <module> is imported does not end the process
    When the entry command runs and a SIGHUP comes as <module> is first imported
    Then it goes on until it reads its settings

    Examples:
      | module                    |
      | argparse                  |
      | marjoramstage.exceptions  |
      | aiohttp                   |
      | marjoramstage.entry       |
