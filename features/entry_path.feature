@processes
Feature: Requests run through instances on the users' platform
  The instances are separate processes; the object store, engines and services are
  stand-ins.

  Background:
    Given a store, engines e1 with m1 and e2 with m3, services s1, s2, 2 instances

  Scenario: each kind of request at each instance
    When every instance is sent requests of each kind
      | request   | method | path     | model | status | contains        |
      | booking   | POST   | /once/x  |       | 200    | ran abc         |
      | lookup    | GET    | /any/x?a=%2F&b |  | 200    | ran             |
      | stream    | POST   | /chat/x  | m1    | 200    | id: 5           |
      | swapped   | POST   | /night/x | m2    | 200    | id: 5           |
      | no model  | POST   | /chat/x  | m9    | 404    | no such model   |
      | no route  | POST   | /none/x  |       | 404    | no route        |
      | too large | POST   | /once/x  |       | 413    | body too large  |
      | no id     | POST   | /once/x  |       | 400    | no request id   |
    Then no request ran twice
    And the targets got their name, the remaining time and no reserved header

  Scenario Outline: a service that <fault>
    Given service s1 has fault <fault> and s2 is <other>
    When a <kind> request is sent 6 times
    Then every answer has status <status>
    And no request ran twice at one target

    Examples:
      | fault   | other   | kind    | status |
      | busy    | sound   | booking | 200    |
      | error   | gone    | booking | 500    |
      | foreign | gone    | booking | 502    |
      | cut     | gone    | booking | 502    |
      | busy    | gone    | booking | 503    |
      | error   | sound   | lookup  | 200    |
      | cut     | sound   | lookup  | 200    |
      | foreign | sound   | lookup  | 200    |

  Scenario: a resumable stream is resumed at another engine, others are truncated
    Given engine e2 holds m1 too and e1 breaks off each stream in its third event
    When 6 resumable and 6 other streams of m1 are requested
    Then each resumable stream has its events 1 to 5 once
    And each other stream is complete or visibly truncated

  Scenario: a caller takes a stream up at the other instance
    Given engines e1 and e2 hold m1 in the versions v1 and v2 of their software
    When a caller takes up 6 streams of instance i1 at instance i2, after event 2
    Then each goes on with events 3 to 5 of the engine whose version began it
    And an unknown stream that is taken up gets 503 and when to come back

  Scenario: bytes that are no request, and a caller that disconnects
    When an instance is sent bytes that are no request
    Then it answers 400 and closes the connection
    When a caller waits for the interim response before it sends its body
    Then it is told to continue and its request is served
    When a caller disconnects in the middle of a stream
    Then the engine sees it disconnect within 1 s

  Scenario: a draining target, a new version of the routes, an unreachable store
    When service s1 announces that it drains
    Then after 2 s no request reaches s1
    When the routes move /once/ to /twice/
    Then after 2 s /once/ is not found and /twice/ is served
    When the store becomes unreachable
    Then requests are still served

  Scenario: a graceful shutdown truncates nothing
    When an instance gets a stop signal in the middle of a stream
    Then it is not ready at once, the stream is completed and its connection closed
    And it exits with code 0 within 8 s

  Scenario: only one instance sends orders to engines
    When 10 streams of m2 are requested at both instances
    Then every stream is complete
    And all orders carry the same holder and fencing number

  Scenario: settings that change while an instance runs
    When the settings of an instance get a grace of 5 s, without a signal
    Then it logs within 4 s that it has reloaded them
    When the settings of an instance lose a line, with a signal
    Then it logs within 4 s what is missing and continues

  Scenario: metrics and logs
    When a booking request is sent 6 times
    Then the metrics address shows 6 requests that were answered
    And each line of an instance's output is a JSON object with an event
