@processes
Feature: Quotas of customers on the whole path
  Separate processes. Each instance sees a part of a customer's requests; a fault here
  sends targets more than the customer's quota, or refuses customers below theirs.

  Scenario Outline: seven instances, a customer far above its quota, <event>
    Given 7 instances and customers with 10 requests a second and 10 more at once
    When one sends 60 requests a second and one sends 5 for 26 s, <event>
    Then neither is sent more than its quota allows in any window
    And the first gets at least 0.9 of its quota from 10 s on
    And of the other's requests at most 0.01 are refused because of its quota
    And refusals tell when to come back, and the log tells why

    Examples:
      | event                   |
      | i2 is killed at 12 s    |
      | i1 gets nine of ten     |

  Scenario: without quotas nothing is said of them
    Given 2 instances and customers without quotas
    When one sends 60 requests a second and one sends 5 for 3 s, nothing happens
    Then nobody is refused
