@processes
Feature: Requests that last longer than a planned stop
  A stop in calm, with 8 s of grace. Separate processes and stand-ins.

  Scenario: the targets don't answer until the grace is over
    Given an instance and two services that don't answer
    When bookings and lookups are sent from 1 s before to 2 s after SIGTERM
    Then each gets a final answer before the grace is over
    And none that reached a service is told that it has not run
    And the instance ends with exit code 0 in time
