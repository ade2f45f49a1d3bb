@processes
Feature: An instance explains where a request would go
  Guards against an explanation that differs from the choice, that sends or counts
  something, or that shows a key.

  Scenario: the explanation of a running instance
    Given a store, engines e1 with m1 and e2 with m3, services s1, s2, 1 instances
    And the engines have memory for 100000 tokens and s2 is leaving
    Then these requests are explained
      | path    | model | tokens  | goes to | contains                        |
      | /chat/x | m1    | 800,200 | e1      | chosen by  work                 |
      | /chat/x | m1    | 800,200 | e1      | not held                        |
      | /chat/x | m3    |         | e2      | chosen by  running requests     |
      | /once/x |       |         | s1      | leaving                         |
      | /chat/x | m2    | 800,200 | none    | no target takes it now          |
      | /chat/x | m2    | 800,200 | none    | 0 ahead of it                   |
      | /chat/x | m9    |         | none    | no such model                   |
      | /none/x |       |         | none    | no route                        |
    And no target was sent anything
    And a key that is sent along is shown nowhere
    And a request for m1 is served by e1 and its tokens are counted
    And the readiness address explains nothing

  Scenario Outline: target t2 when <change>
    Given targets t1 and t2 that hold m, and a request with shared parts of 2000 tokens
    When <change>
    Then t2 is excluded as "<exclusion>" and not chosen

    Examples:
      | change                            | exclusion     |
      | t2 leaves                         | leaving       |
      | t2 lacks m                        | not held      |
      | the stream began at version v1    | version       |
      | t2 was tried                      | tried before  |
      | t2 could not be reached           | unreachable   |
      | t2 asked for a pause              | paused        |
      | t2 runs 60 requests               | full          |
      | t2 has a long prompt to read      | prefill pacing |
      | t2 named a limit                  | limit         |

  Scenario: a command line that asks nobody
    Then explaining at an address where nothing listens ends with exit code 1
