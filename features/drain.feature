Feature: Planned stops cut off nothing in flight

  Scenario: rolling replacement of all instances under a steady request stream
    Given 3 data centres with 3 instances each behind a balancer
    When every instance is replaced in turn while callers send steadily
    Then no steady request failed and none was cut off
    And every replaced instance ended with exit code 0
    And every new instance has the accepted generation in force

  Scenario Outline: a stop with a stream in flight, <case>
    Given an instance with a stream that takes <stream> s and a bound of <bound> s
    When the instance gets SIGTERM <times> times during the stream
    Then the stream ends <end>
    And the stopped instance ended with exit code 0

    Examples:
      | case             | stream | bound | times | end           |
      | it may finish    | 2      | 30    | 1     | whole         |
      | its time is over | 30     | 2     | 1     | with an error |
      | a second signal  | 30     | 60    | 2     | with an error |

  Scenario Outline: states of a planned stop, <case>
    When a planned stop of bound 10 s goes through "<steps>"
    Then the planned stop is <state>

    Examples:
      | case                     | steps                                  | state    |
      | not asked for            |                                        | serving  |
      | just asked for           | ask                                    | lingering |
      | lingers without work     | ask, wait 0.5                          | lingering |
      | work in flight           | begin, ask, wait 2, wait 1             | draining |
      | nothing in flight        | ask, wait 2, wait 1                    | stopped  |
      | work ends in time        | begin, ask, wait 2, wait 5, end, wait 1 | stopped |
      | work outlasts the bound  | begin, ask, wait 2, wait 9             | aborting |
      | outlasting work ends     | begin, ask, wait 2, wait 9, end, wait 1 | stopped |
      | second signal            | begin, ask, wait 2, ask                | aborting |
      | second signal at once    | begin, ask, ask                        | aborting |
      | signals after the end    | ask, wait 2, wait 1, ask               | stopped  |
