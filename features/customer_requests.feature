Feature: A key that is removed while its request is under way
  A fault here runs work for a customer that has lost its key, or tells a caller that
  work may be repeated which has run.

  Scenario Outline: the key of a request that <state> is <change>
    Then the caller of a request that <state> gets <status> when its key is <change>
    And the targets got it <sent> times, the last time for <customer>

    Examples:
      | state                               | change         | status | sent | customer |
      | waits for a target                  | removed        | 401    | 0    | nobody   |
      | waits for a target                  | given to other | 200    | 1    | other    |
      | waits for a target                  | kept           | 200    | 1    | good     |
      | was refused by a target             | removed        | 401    | 1    | good     |
      | was refused by a target             | given to other | 200    | 2    | other    |
      | may have run at a target            | removed        | 502    | 1    | good     |
      | may have run at a target            | given to other | 200    | 2    | other    |
      | runs at a target                    | removed        | 200    | 1    | good     |
      | is about to be written to a target  | removed        | 401    | 0    | nobody   |
      | is about to be written to a target  | given to other | 200    | 1    | other    |
      | waits for a target                  | required first | 401    | 0    | nobody   |

  Scenario: a key is in no text that describes what an instance holds
    Given requests of a known and an unknown key that run, wait and were refused
    Then no log line, metric, answer or description of an object contains a key

  Scenario: a key is in no message between instances
    Given 6 instances with customers, of which one reads the store for the others
    When a key is removed while the store turns the others away
    Then each instance refuses it within 2 s and knows the other keys
    And no message between them contains a key

  Scenario Outline: an instance whose version is <older> than that of the others
    Then it <does> when it has had <older> version for <time> s and <before>

    Examples:
      | older         | before                  | time | does    |
      | an older      | was in step before      | 0.9  | serves  |
      | an older      | was in step before      | 1.1  | refuses |
      | an older      | has just started        | 0    | refuses |
      | the same      | has just started        | 2    | serves  |
      | a later       | has just started        | 2    | serves  |

  Scenario: an instance that was started with an older version
    Then it answers 503 until it has the version of the others, never 401

  Scenario: labels by customer are bounded
    Then 200 customers get 65 series at most
