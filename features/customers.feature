@processes
Feature: Customers are isolated from each other
  A customer cannot reach what another one paid for, claimed or received.

  Scenario: two customers use the same idempotency key
    Given an instance for two customers of one service
    When each of the two customers books twice with the key "k1"
    Then each of the two customers has one booking of its own, replayed the second time
    And the service has run two bookings for the two customers

  Scenario: what a customer sees
    Given an instance for two customers of one service
    When each of the two customers asks for its models
    Then the models of each customer are those that it paid for
      | customer   | models                    |
      | university | assistant assistant:rooms |
      | publisher  | scores                    |

  Scenario Outline: a connection that <case>
    Given a server that gives 0.2 s for the first request head
    When a client of that server <case>
    Then that connection is <end>

    Examples:
      | case                       | end    |
      | sends nothing              | closed |
      | sends half a head          | closed |
      | sends a head and waits     | kept   |
