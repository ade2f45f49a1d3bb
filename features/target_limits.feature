Feature: Limits on the rate of requests that targets name
  A target names in its answers how many requests a second it takes from all instances
  together. Permits, their issuer and what is known of limits, without a network.

  Scenario Outline: headers of an answer with status <status>: <headers>
    When a target answers <status> with the limits <headers>
    Then its limit is <limit>

    Examples:
      | status | headers     | limit            |
      | 200    | 2           | 2                |
      | 200    | 0.4         | 0.4              |
      | 503    | 1.9         | 1.9              |
      | 200    | 3; 2        | 2                |
      | 200    | many; 2     | 2                |
      | 200    | 0           | 0                |
      | 200    | 1e12        | 1000000          |
      | 200    | many        | not said         |
      | 200    | 1e999       | not said         |
      | 200    | -3          | not said         |
      | 200    | nan         | not said         |
      | 200    | empty       | not said         |
      | 200    | none        | over             |
      | 503    | none        | not said         |
      | 500    | none        | not said         |
      | 421    | none        | not said         |

  Scenario Outline: what is known of a limit, <case>
    When <words>
    Then the limit is known as <limit>

    Examples:
      | case                                   | words                                      | limit |
      | named and over                         | named 2 at 1, over at 3 sent 2             | none  |
      | sent before it was named               | named 2 at 1, over at 3 sent 0.5           | 2     |
      | told an older one                      | named 2 at 5, told 7 as of 4               | 2     |
      | told a newer one                       | named 2 at 5, told 7 as of 6               | 7     |
      | told that it is over, about as old     | named 2 at 5, told over as of 5.2          | 2     |
      | told that it is over, later            | named 2 at 5, told over as of 6            | none  |
      | told that one never heard of is over   | told over as of 6                          | none  |
      | named by a start that is gone          | named 2 at 1, the target starts again      | none  |

  Scenario Outline: a played load, <case>
    When <instances> instances want <per_s> a second of a target that takes <limit>, <more>, seeds 1 to <seeds>
    Then in no 4 s it gets more than one and a half times that and 5
    And it gets at least <used> a second

    Examples:
      | case                      | instances | per_s | limit | more                                    | seeds | used |
      | alone                     | 3         | 24    | 2     | callers wait 1.5 s                      | 10    | 1.6  |
      | others can serve          | 7         | 40    | 1.9   | others serve                            | 10    | 1.3  |
      | under one in 4 s          | 7         | 40    | 0.4   | others serve                            | 10    | 0.25 |
      | takes none                | 7         | 40    | 0     | callers wait 1.5 s                      | 10    | 0.05 |
      | one instance alone        | 1         | 24    | 2     | callers wait 1.5 s                      | 10    | 1.6  |
      | nine of ten at one        | 7         | 24    | 3     | callers wait 1.5 s, 0.9 at the first    | 10    | 2.4  |
      | burst                     | 7         | 20    | 2     | callers wait 1.5 s, ten times from 12 s | 10    | 1.6  |
      | burst below the limit     | 7         | 10    | 20    | others serve, ten times from 12 s       | 10    | 8    |
      | more than is asked        | 7         | 7.5   | 20    | others serve                            | 10    | 5    |
      | slow messages             | 7         | 40    | 2     | callers wait 1.5 s, messages take 0.8 s | 10    | 1.4  |
      | no holder for a time      | 7         | 40    | 2     | callers wait 1.5 s, no holder 10 to 25 s | 10   | 1    |
      | no holder, under one      | 24        | 40    | 0.4   | others serve, no holder 10 to 25 s      | 10    | 0.1  |
      | 24 instances              | 24        | 40    | 2     | others serve                            | 10    | 1.4  |
      | 195 instances             | 195       | 100   | 2     | callers wait 1.5 s                      | 2     | 1.4  |

  Scenario: a permit whose request was not sent is used again
    Given an instance with 1 permit for a target with a limit
    When a request takes it and is withdrawn before it is sent
    Then the target admits 1 more request

  Scenario: permits for a limit that has since fallen are dropped
    Given an instance with 3 permits for a target with a limit
    When the target names a lower limit
    Then the target admits 0 more requests

  Scenario Outline: a request whose turn is <turn> s away, after waiting <waited> s of 5
    When a request that has waited <waited> s of 5 finds its turn <turn> s away
    Then it <decision>

    Examples:
      | turn | waited | decision                          |
      | 1.0  | 0.0    | is kept waiting                   |
      | 1.5  | 0.0    | is refused for 1.5 to 3 s         |
      | 1.5  | 0.5    | is kept waiting                   |
      | 2.5  | 0.5    | is refused for 2.5 to 5 s         |

  Scenario: models that wait for a limited target are loaded elsewhere
    Given engines a and b, a alone with m1 and limited
    When requests wait for m1 and are planned for
    Then m1 is loaded at b

  Scenario: a rare model at a limited target stays there
    Given engines a and b, a alone with m1 and limited
    When few requests for m1 are planned for
    Then nothing is loaded

  Scenario: if all engines are limited, nothing is loaded for that reason
    Given engines a and b, both limited, a with m1
    When requests wait for m1 and are planned for
    Then nothing is loaded
