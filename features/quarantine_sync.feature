Feature: Instances hold back the same requests
  Whoever saw a target crash, all instances hold back what crashes targets, also those
  that started later, and none does once an answer went well anywhere.

  Scenario Outline: crashes seen by <seen>, <instances> instances, <store>
    Given <instances> instances and a store that is <store>
    When three targets crash under requests with part c, seen by <seen>
    Then within 2 s of the last crash all instances hold back requests with c
    And no more than <most> messages were sent

    Examples:
      | seen           | instances | store | most |
      | one instance   | 3         | up    | 40   |
      | one each       | 3         | up    | 40   |
      | one each       | 9         | down  | 400  |
      | one instance   | 200       | up    | 3000 |
      | one each       | 200       | down  | 3000 |

  Scenario Outline: an answer goes well at another instance, <instances> instances
    Given <instances> instances and a store that is up
    When three targets crash under requests with part c, seen by one instance
    And an answer on c that was sent before the end of it goes well at the last instance
    Then within 2 s of the last crash no instance holds back requests with c
    And nothing is in the store after 3 s more

    Examples:
      | instances |
      | 3         |
      | 200       |

  Scenario Outline: <who> later, the store <store>
    Given 5 instances and a store that is up
    When three targets crash under requests with part c, seen by one instance
    And after 2 s <who>, the store <store>
    Then within 3 s all instances hold back requests with c

    Examples:
      | who                             | store         |
      | one instance starts again       | up            |
      | one instance starts again       | down          |
      | all instances start again       | up            |
      | one missed all messages         | up            |

  Scenario: invalid objects in the store
    Given 3 instances and a store that is up
    When the store holds quarantines that are garbled
    And after 2 s all instances start again, the store up
    Then no instance holds back requests with c
