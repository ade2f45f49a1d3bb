@processes
Feature: Failures that operators of similar systems saw
  The instances are separate processes; the object store, engines and services are
  stand-ins. docs/PROOFS.md lists which scenario stands for which failure.

  Background:
    Given a store, engines e1 with m1 and e2 with m3, services s1, s2, 2 instances

  Scenario: a second copy of an answer, late, on a connection that is in use again
    Given service s3 sends a copy of each answer late, and the others are gone
    When 40 lookups are sent to instance i1, one after the other
    Then each caller got the answer to its own request or a failure
    And at least 10 of them were answered

  # Guards against an answer that is none, whose status or names are wrong.
  Scenario: answers with a broken head of a service in trouble
    Given service s3 answers with broken heads, and the others are gone
    When 20 lookups and as many bookings are sent to both instances
    Then each caller got 502, and s3 ran each request once

  Scenario: a planned stop under load cuts off no accepted request
    When 8 callers send bookings on kept connections and instance i1 is stopped
    Then each request that reached a target was answered
    And each 503 was for a request that did not run

  Scenario Outline: a stream that <kind>
    Given engine e1 sends streams that <kind>
    When a stream is requested with a deadline of 4 s
    Then it <end>

    Examples:
      | kind                                   | end                                         |
      | is slow, with pauses of 0.6 s          | is complete                                 |
      | stalls and sends a byte now and then   | ends incomplete within 4.5 s of the request |

  Scenario: a target that has left is not used again after an instance restarts
    Given service s1 has left and the instance i1 is killed and started again
    When 12 bookings are sent to both instances
    Then no request reached s1

  Scenario: a holder that was suspended gives no order beside its successor
    Given models are asked for until an instance holds the placement lease
    When it is suspended for 6 s while models are asked for at the other
    And it is resumed and models are asked for at both
    Then two holders gave orders, and none was carried out or sent under an old fence

  Scenario Outline: a booking whose service is lost <when>, and the caller presses again
    Given both services are lost <when>
    When a caller books at i1 and presses again at i2
    Then each press ran at most once
    And each press got <status>
    And the log names the press and "<reason>"

    Examples:
      | when             | status | reason                      |
      | before it runs   | 502    | the target's answer was lost |
      | while it runs    | 502    | the target's answer was lost |
      | after it has run | 502    | the target's answer was lost |
      | at its port      | 503    | no target                   |
