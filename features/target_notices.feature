Feature: What targets say of themselves in their answers
  A target that leaves says so in all its answers, and one that wants a rest asks for
  a pause with a 503. Both bind the instance that was told, whatever else it knows.

  Scenario Outline: headers of an answer with status <status>: <headers>
    When a target answers <status> with <headers>
    Then it says that it <notice>

    Examples:
      | status | headers                                | notice             |
      | 200    | Server-Leaving: 1                      | leaves             |
      | 200    | server-leaving: 1                      | leaves             |
      | 421    | Server-Leaving: 1                      | leaves             |
      | 429    | Server-Leaving: 1; Retry-After: 5      | leaves             |
      | 503    | Server-Leaving: 1                      | leaves             |
      | 503    | Server-Leaving: 1; Retry-After: 5      | leaves, pauses 5   |
      | 200    | Server-Leaving: 1; Server-Leaving: 1   | leaves             |
      | 200    | Server-Leaving: 0; Server-Leaving: 1   | leaves             |
      | 200    | Server-Leaving: 1, 1                   | leaves             |
      | 200    | Server-Leaving: 0                      | says nothing       |
      | 200    | Server-Leaving: 11                     | says nothing       |
      | 200    | Server-Leaving: true                   | says nothing       |
      | 200    | Server-Leaving: 2                      | says nothing       |
      | 200    | Server-Leaving:                        | says nothing       |
      | 503    | Retry-After: 2                         | pauses 2           |
      | 503    | Retry-After: 0.25                      | pauses 0.25        |
      | 503    | Retry-After: 2; Retry-After: 3         | pauses 3           |
      | 503    | Retry-After: soon; Retry-After: 3      | pauses 3           |
      | 503    | Retry-After: 1000000000                | pauses 3600        |
      | 503    | Retry-After: 0                         | says nothing       |
      | 503    | Retry-After: -1                        | says nothing       |
      | 503    | Retry-After: nan                       | says nothing       |
      | 503    | Retry-After: inf                       | says nothing       |
      | 503    | Retry-After: 1e999                     | says nothing       |
      | 503    | Retry-After: Fri, 04 Dec 2026 10:00:00 GMT | says nothing   |
      | 503    | Retry-After:                           | says nothing       |
      | 200    | Retry-After: 5                         | says nothing       |
      | 429    | Retry-After: 5                         | says nothing       |
      | 500    | Retry-After: 5                         | says nothing       |

  Scenario Outline: a target that says in <part> of an answer that it leaves
    When a target answers 2 requests and says in <part> that it leaves
    Then <answered> of them were answered 200, and <out> target is out

    Examples:
      | part                 | answered | out |
      | the head             | 1        | 1   |
      | an interim response  | 2        | 0   |
      | a trailer            | 2        | 0   |

  Scenario: the caller of a target that leaves is not told
    Then of Server-Leaving and Stamp in an answer a caller gets only Stamp

  Scenario: no order of answers, lists and restarts sends a request too much
    When hypothesis tries random orders of them
    Then no target that left or pauses gets a request, and each new start gets some

  Scenario: fifty requests wait for a target that then says that it leaves
    Given targets t1 and t2 of one service, both full, and 50 requests that wait
    When t1 answers that it leaves and both have free slots again
    Then all requests that got a target got t2

  Scenario: a pause that is asked for twice is extended and never shortened
    Given a target that answers a pause of 3 s, and after 1 s one of 1 s
    Then it gets no request until 3 s after the first, and then some at once

  Scenario: a restored store lists a start that left after a later one
    Given a target whose first start said that it leaves and whose second one serves
    When the platform lists the first start again
    Then it gets no request until the second start is listed once more

  Scenario: a report of a target that is gone does not end the pause of the present one
    Given a target that pauses for 3 s, and an answer of its start before with 9 s
    Then it gets no request until 3 s after the first, and then some at once

  Scenario Outline: a request whose targets all pause for <pause> s is <decision>
    When a request with <left> s left finds all targets pausing for <pause> s
    Then it is <decision>

    Examples:
      | pause | left | decision                        |
      | 0.2   | 3.0  | kept waiting                    |
      | 0.2   | 0.3  | refused for 0.2 to 0.7 s        |
      | 2.0   | 12.0 | refused for 2.0 to 2.5 s        |
      | 20.0  | 12.0 | refused for 20.0 to 25.0 s      |

  Scenario: callers that are refused because of a pause do not come back at once
    When 200 requests find all targets pausing for 4 s
    Then they are told to come back at least 4 s later, at most 40 within 0.1 s

  Scenario: a model that is loaded elsewhere before the pause ends is waited for
    When a request finds its targets pausing for 5 s and its model coming in 0.8 s
    Then it is kept waiting

  Scenario: a target that pauses gets no order, and its models stay
    Given a planner of targets t1 and t2, which hold other models
    When t1 pauses and a model that only t1 has cached is waited for
    Then no order goes to t1 and t2 is ordered to load the model
    And the models of t1 are not loaded elsewhere

  Scenario: a target that asks for a pause before its planned unload serves its models
    Given a planner of targets t1 and t2, which hold other models
    When t1 is about to unload models for another one, and pauses
    Then every model of t1 serves requests

  Scenario: the models of a target that told one instance that it leaves
    Given a planner of targets t1 and t2, which hold other models
    When one instance reports that t1 leaves and a model of t1 is waited for
    Then no order goes to t1 and t2 is ordered to load the model

  Scenario: what an instance reports to the holder of the lease survives encoding
    Then a report with a leaving target is decoded as it was encoded
    And of reports with leaving targets t1, t2 and a bad start only t1 and t2 count
