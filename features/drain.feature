@processes
Feature: A planned stop interrupts no request in flight

  Scenario: rolling replacement of all instances under a steady request stream
    Given 3 data centres with 3 instances each behind a balancer
    When every instance is replaced in turn while callers send steadily
    Then no steady request failed and none was cut off
    And every replaced instance ended with exit code 0
    And every new instance has the accepted generation in force

  Scenario Outline: a stop with a stream in flight, <case>
    Given an instance with a stream that takes <stream> s and a drain timeout of <bound> s
    When the instance gets SIGTERM <times> times during the stream
    Then the stream ends <end>
    And the stopped instance ended with exit code 0

    Examples:
      | case                | stream | bound | times | end           |
      | finishes in time    | 2      | 30    | 1     | whole         |
      | exceeds the timeout | 30     | 2     | 1     | with an error |
      | second signal       | 30     | 60    | 2     | with an error |

  Scenario Outline: states of a planned stop, <case>
    When a planned stop with a timeout of 10 s goes through "<steps>"
    Then the planned stop is <state>

    Examples:
      | case                     | steps                                  | state    |
      | not requested            |                                        | serving  |
      | just requested           | ask                                    | lingering |
      | lingers without work     | ask, wait 0.5                          | lingering |
      | work in flight           | begin, ask, wait 2, wait 1             | draining |
      | nothing in flight        | ask, wait 2, wait 1                    | stopped  |
      | work ends in time        | begin, ask, wait 2, wait 5, end, wait 1 | stopped |
      | work exceeds the timeout | begin, ask, wait 2, wait 9             | aborting |
      | work ends while aborting | begin, ask, wait 2, wait 9, end, wait 1 | stopped |
      | second signal            | begin, ask, wait 2, ask                | aborting |
      | second signal at once    | begin, ask, ask                        | aborting |
      | signals after the end    | ask, wait 2, wait 1, ask               | stopped  |
