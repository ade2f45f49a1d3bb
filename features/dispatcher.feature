Feature: Requests are routed and get a target
  Decisions of an instance on the users' platform, without a network.

  Scenario Outline: the route of <host> <path>
    Given routes for h.example at /a/, /a/b/ and for i.example at /a/
    Then the route of host <host> and path <path> is <route>

    Examples:
      | host      | path    | route |
      | h.example | /a/x    | r1    |
      | h.example | /a/b/x  | r2    |
      | h.example | /a/b    | r1    |
      | h.example | /a/bc/  | r1    |
      | h.example | /b/     | none  |
      | i.example | /a/b/x  | r3    |
      | j.example | /a/x    | none  |

  Scenario: a split route follows its weights; a request id always maps to one service
    Then of 2000 ids a split of 90 to 10 gives the first service 1750 to 1850
    And each id maps to the same service every time

  Scenario Outline: the choice of a target when <case>
    Given targets t1 in a, t2 in a and t3 in b of 10 slots, all with model m
    When <case>
    Then a request from a for m goes to <choice>

    Examples:
      | case                              | choice |
      | t1 has 5 requests                 | t2     |
      | t1 and t2 have 5 requests         | t3     |
      | t1 is leaving and t2 lacks m      | t3     |
      | t1 and t2 could not be reached    | t3     |
      | no target could be reached        | none   |
      | t1 and t2 fail half their requests | t3    |
      | every target is full              | none   |
      | t2 and t3 were tried              | t1     |
      | the holder announces m at t3 only | t3     |
      | it goes on at version v2 of t3    | t3     |
      | it goes on at an unknown version  | none   |
      | t1 has 4000 prompt tokens to read | t2     |
      | every target has a long prompt to read | none |
      | every target reads and the request was held back long enough | any |

  Scenario Outline: a request without a target: <case>
    When it waited <waited> s, has <left> s left for "<reason>" and a load takes <eta> s
    Then the decision is to <decision>

    Examples:
      | case                        | waited | left | reason             | eta  | decision |
      | the load is done in time    | 0.1    | 2.0  | model not held     | 0.8  | wait     |
      | the load is done too late   | 0.1    | 2.0  | model not held     | 4.0  | refuse   |
      | load time unknown, new      | 0.1    | 2.0  | model not held     | none | wait     |
      | load time unknown, waited   | 0.7    | 1.7  | model not held     | none | refuse   |
      | a caller that waits long    | 1.0    | 11.0 | model not held     | none | wait     |
      | targets full, new           | 0.1    | 2.0  | targets full       | none | wait     |
      | targets full, half time up  | 1.1    | 0.9  | targets full       | none | refuse   |
      | every target tried          | 0.1    | 2.0  | every target tried | none | refuse   |
      | no target at all            | 0.5    | 2.0  | no target          | none | refuse   |

  Scenario Outline: a request has no target: <case>
    When a request for <wanted> was sent to <tried> and <targets>
    Then the reason is "<reason>"

    Examples:
      | case                            | wanted  | tried  | targets                  | reason             |
      | no target is listed             | a model | none   | no target is listed      | no target          |
      | a target is full                | a model | none   | one is full              | targets full       |
      | its model is loaded nowhere     | a model | none   | none can serve it        | model not held     |
      | the holders of a model rejected | a model | t1     | none can serve it        | model not held     |
      | the targets of a service failed | no model | t1, t2 | none can serve it       | every target tried |

  Scenario Outline: requests elsewhere: <case>
    Given an instance reported 2, 5 and then 9 requests at t1 and runs 9
    When a view counts 20 requests at t1, as of <report>
    Then it takes <total> requests to run at t1

    Examples:
      | case                          | report       | total |
      | the view has the last report  | report 3     | 20    |
      | the view has an earlier one   | report 2     | 24    |
      | the view does not say which   | some report  | 20    |
      | the report is no longer kept  | report 99    | 20    |

  Scenario: the most urgent waiting requests get targets first
    Given a queue in which ranks 2, 0, 1 and 0 wait and two slots are free
    When targets are assigned
    Then the two requests of rank 0 have a target, the earlier deadline first

  Scenario: retries of all instances together stay within the budget
    Given 9 instances that share a budget of 0.2 and 58 in 10 s
    When each serves 20 requests and attempts a retry for each
    Then all together sent no more than 94 retries
    And an instance that does not know how many there are sent no more than 6

  Scenario Outline: an event stream that comes as <blocks>
    When the blocks <blocks> are fed
    Then <whole> bytes of whole events were passed on and the last id is "<last>"

    Examples:
      | blocks                                | whole | last |
      | id: 1\ndata: x\n\n                    | 15    | 1    |
      | id: 1\nda,ta: x\n\nid: 2              | 15    | 1    |
      | id: 1\ndata: x\n\nid: 2\ndata: y\n\n  | 30    | 2    |
      | data: x\n                             | 0     |      |
      | data: x\n,\n                          | 9     |      |
      | id: 1\r\ndata: x\r\n\r\nid: 2         | 18    | 1    |
      | id: 1\r\ndata: x\r\n\r,\nid: 2        | 18    | 1    |
      | id: 1\rdata: x\r,\rid: 2              | 15    | 1    |
