@processes
Feature: Targets that leave or ask for a pause, on the whole path
  The instances are separate processes; the object store, engines and services are
  stand-ins that say in their answers that they leave or want a pause.

  Background:
    Given a store, engines e1 with m1 and e2 with m3, services s1, s2, 2 instances

  Scenario Outline: a service that says only in <answers> that it leaves, <outage>
    Given service s1 says only in <answers> that it leaves, <outage>
    When bookings are sent to i1 until s1 was asked, and then 12 more
    Then none of the 12 reached s1, each was answered, and no caller was told why
    And the metrics of i1 show 1 target out as leaving

    Examples:
      | answers  | outage                                 |
      | answer   | the store being away                   |
      | refusal  | the store being away                   |
      | answer   | the store and the other instance away  |

  Scenario: a service that leaves, dies and comes back while the store is away
    Given service s1 says only in answer that it leaves, the store being away
    When bookings are sent to i1 until s1 was asked, and then 12 more
    And s1 starts again at its address, and 12 more are sent
    Then none of the 12 reached s1, each was answered, and no caller was told why
    When the store is back and lists s1 as it was before
    Then none of 12 more bookings reaches s1
    When the store lists the new start of s1
    Then bookings reach s1 again and i1 logs that it is back

  Scenario: both services ask for a pause of 3 s
    Given services s1 and s2 answer 503 and ask for a pause of 3 s
    When 10 bookings are sent to i1 within 2 s
    Then each got a 503 within 0.5 s that says to come back when the pause is over
    And each service was asked at most once
    When the services serve again and the pause is over
    Then a booking is answered

  Scenario: an engine that leaves loses its model to another
    Given engine e1 says that it leaves
    When m1 is asked for at both instances, again and again for 6 s
    Then m1 is loaded at e2 and the last requests were answered there

  Scenario: an engine that says only in its reports that it leaves
    Given a new engine e3 with m2 that says only in its reports that it leaves
    When m2 is asked for until it is loaded at another engine
    Then the holder of the lease logs that e3 is out, by no request

  Scenario: an instance that is suspended keeps what it was told
    Given service s1 says only in answer that it leaves, the store being away
    When bookings are sent to i1 until s1 was asked, and then 12 more
    And i1 is suspended for 3 s and 12 more are sent
    Then none of the 12 reached s1, each was answered, and no caller was told why

  Scenario: an instance that starts anew is told again
    Given service s1 says in all its answers that it leaves
    When bookings are sent to i1 until s1 was asked, and then 12 more
    And i1 is killed and started again
    And bookings are sent to i1 until s1 was asked, and then 12 more
    Then no more than one booking to each start of i1 reached s1
