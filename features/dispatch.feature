Feature: Requests find their route and their target
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

  Scenario: a split route keeps its weights and gives one id one service
    Then of 2000 ids a split of 90 to 10 gives the first service 1750 to 1850
    And each id gets the same service twice

  Scenario Outline: the choice among targets with <case>
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
      | the holder says only t3 has m     | t3     |
      | t1 has 4000 prompt tokens to read | t2     |
      | every target has a long prompt to read | none |
      | every target reads and the request was held back long enough | any |

  Scenario Outline: a request without a place: <case>
    When it waited <waited> s, has <left> s and sees "<outlook>" with a model in <coming> s
    Then it is to <ruling>

    Examples:
      | case                     | waited | left | outlook           | coming | ruling |
      | the model comes in time  | 0.1    | 2.0  | model not held    | 0.8    | wait   |
      | the model comes too late | 0.1    | 2.0  | model not held    | 4.0    | refuse |
      | nobody knows, just come  | 0.1    | 2.0  | model not held    | none   | wait   |
      | nobody knows, waited     | 0.7    | 1.7  | model not held    | none   | refuse |
      | long patience            | 1.0    | 11.0 | model not held    | none   | wait   |
      | full, just come          | 0.1    | 2.0  | targets full      | none   | wait   |
      | full, half the time gone | 1.1    | 0.9  | targets full      | none   | refuse |
      | every target tried       | 0.1    | 2.0  | every target tried | none  | refuse |
      | no target at all         | 0.5    | 2.0  | no target         | none   | refuse |

  Scenario: the most urgent requests in line come first
    Given a line in which ranks 2, 0, 1 and 0 wait and two places are free
    When the line is served
    Then the two requests of rank 0 have a place, the earlier deadline first

  Scenario: repeats of all instances together stay in their budget
    Given 9 instances that share a budget of 0.2 and 58 in 10 s
    When each serves 20 requests and tries a repeat for each
    Then all together sent no more than 94 repeats
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
