Feature: Targets are chosen by the work of requests and of targets
  Guards against choosing by the number of running requests alone where requests that
  look alike differ in work, and against estimates that do harm.

  Scenario Outline: unlike requests at <instances> instances, <told>, <parts>
    Given 8 engines, 3 models of unlike speed and unlike requests <parts>
    When 16 s are simulated at <instances> instances with and without known work, seeds 1 to 6, <told>
    Then the first event comes at most <first> times as late, at the 95th percentile
    And pauses are at most <pause> times as long, at the 95th percentile
    And the busiest engine has at most 0.06 more of the mean than without
    And engines read at most <read> times as many tokens
    And at most 1 in 100 more requests is lost

    Examples:
      | instances | told                      | parts                 | first | pause | read |
      | 7         | prompts announced         | that share parts      | 0.95  | 0.97  | 0.85 |
      | 27        | views each 0.5 s          | that share parts      | 0.8   | 0.97  | 0.85 |
      | 7         | prompts announced         | that share none       | 1.05  | 1.05  | 1.01 |

  Scenario Outline: a request whose first parts are at t2, <case>
    Given targets t1 and t2 that hold m, and a request with shared parts of 2000 tokens
    When one with the same parts was sent to t2 and <change>
    Then it <goes> to t2 for its parts

    Examples:
      | case                | change                            | goes          |
      | idle                | it has ended                      | goes          |
      | busy                | t2 has 30 requests more           | does not go   |
      | long prompt unread  | t2 has 8000 prompt tokens to read | does not go   |
      | restarted           | t2 has restarted                  | does not go   |
      | long ago            | 61 s have passed                  | does not go   |
      | full of others      | t2 was sent 60000 other tokens    | does not go   |
      | full                | t2 is full                        | does not go   |
      | other model         | the model is another              | does not go   |

  Scenario: all instances prefer the same target for parts that they have not sent yet
    Given 20 other instances with targets in another order
    Then 10 requests with unlike parts each go to the same target from all of them
    And not all of them to one target

  Scenario Outline: <case> is learnt
    Given a request with <stated> and observed streams of <events> events each
    Then it is expected to take <tokens> tokens and <seconds> s to write

    Examples:
      | case                       | stated                    | events          | tokens | seconds |
      | nothing                    | a hint of 200             | none            | 200    | 0.9     |
      | a limit without a hint     | a limit of 400            | none            | 400    | 1.8     |
      | a hint over the limit      | a hint of 900 and a limit of 400 | none     | 400    | 1.8     |
      | five tokens an event       | a hint of 200             | 40 by all       | 200    | 0.4     |
      | a customer whose hints are low | a hint of 200         | 40 by all, 80 by its own | 370 | 0.8 |

  Scenario: what is learnt is bounded and forgotten with its target
    When streams of 300 targets, 20 models and 9000 customers are observed
    Then at most 4 tables of 4096 values are kept
    And no speed of a removed target is kept

  Scenario Outline: other instances' requests that were counted <age> s ago
    Given a view counts 10 requests at t1 and 8 at t2, and 1 of ours runs at t2
    When <age> s have passed since
    Then a request with known work goes to <target>

    Examples:
      | age | target |
      | 0.3 | t2     |
      | 12  | t1     |

  Scenario Outline: a request with "<headers>" to engines with memory for <capacity> tokens
    When a caller sends "<headers>" to engines with memory for <capacity> tokens
    Then its work is <known>

    Examples:
      | headers                                           | capacity | known                            |
      | Tokens: 800,200                                   | 100000   | 800 + 200, hint 0, no parts      |
      | Tokens: 800,200; Length-Hint: 90                  | 100000   | 800 + 200, hint 90, no parts     |
      | Tokens: 800,200; Prompt-Prefix: A1:300,b:200,c:300 | 100000  | 800 + 200, hint 0, a1:300 b:200  |
      | Tokens: 800,200; Prompt-Prefix: a:x,b:200,c:300   | 100000   | 800 + 200, hint 0, no parts      |
      | Tokens: 999999999,-5; Length-Hint: -1             | 100000   | 100000 + 0, hint 0, no parts     |
      | Tokens: 800,200                                   | 0        | not known                        |
      | Length-Hint: 90                                   | 100000   | not known                        |
