@processes
Feature: Usage records
  Each request that ran is counted once, however often its record is written.

  Scenario Outline: batches written while the platform has faults
    Given a usage collector that recorded 3 requests of school and 2 of rival
    When its usage is written while the platform has <faults>
    Then the usage totals are <school> for school and <rival> for rival

    Examples:
      | faults                                        | school | rival |
      | no fault                                      | 3      | 2     |
      | lost answer, lost answer                      | 3      | 2     |
      | lost request, lost answer, lost request       | 3      | 2     |
      | down for the first write                      | 3      | 2     |
      | the instance crashes before the first write   | 0      | 0     |
      | the instance crashes after the first batch    | 3      | 0     |

  Scenario: a batch is read twice and counted once
    Given a usage collector that recorded 3 requests of school and 2 of rival
    When its usage is written and each record listed twice
    Then the usage totals are 3 for school and 2 for rival

  Scenario: the command shows what ran through an instance that has stopped
    Given a platform, 1 engines, a service and 2 instances
    And the demo inventory is applied through instance i1
    When i1 serves 2 bookings and 1 completion of 4 tokens, one refused, and stops
    Then the usage command of i2 shows 3 requests and 4 output tokens
