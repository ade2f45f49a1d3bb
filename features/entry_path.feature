Feature: Requests run through instances on the users' platform
  Separate processes, a stand-in of the store, engines and a service.

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
    And the targets were told whom to be, the time left and no private header

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

  Scenario: a resumable stream goes on at another engine, another one is cut
    Given engine e2 holds m1 too and e1 breaks off each stream in its third event
    When 6 resumable and 6 other streams of m1 are asked for
    Then each resumable stream has its events 1 to 5 once
    And each other stream is whole or looks cut

  Scenario: bytes that are no request, and a caller that leaves
    When an instance is sent bytes that are no request
    Then it answers 400 and closes
    When a caller waits for leave to send its body
    Then it is told to go on and its request is served
    When a caller leaves in the middle of a stream
    Then the engine sees it leave within 1 s

  Scenario: a target that leaves, a new version of the routes, a store that is away
    When service s1 says that it leaves
    Then after 2 s no request reaches s1
    When the routes move /once/ to /twice/
    Then after 2 s /once/ is not found and /twice/ is served
    When the store goes away
    Then requests are still served

  Scenario: a planned stop cuts nothing off
    When an instance is asked to stop in the middle of a stream
    Then it is not ready at once, the stream ends whole and its connection is closed
    And it exits with code 0 within 8 s

  Scenario: what an engine holds is ordered by one instance
    When 10 streams of m2 are asked for at both instances
    Then every stream is whole
    And each order bears one holder and a fence

  Scenario: settings that change while an instance runs
    When the settings of an instance get a grace of 5 s, without a signal
    Then it says within 4 s that it has read them
    When the settings of an instance lose a line, with a signal
    Then it says within 4 s what is missing and goes on

  Scenario: figures and logs
    When a booking request is sent 6 times
    Then the metrics address shows 6 requests that were answered
    And each line of an instance's output is an object with an event
