@processes
Feature: A part of prompts that ends each engine that answers it
  The instances are separate processes, the engines are stand-ins. Every 0.2 s callers
  send a request that has the fatal part, whatever its other parts, at any instance, and
  come back up to twice. After the fifth crash, three more such requests may be sent
  later than 3 s; from 6 s on, at least half of the sound requests are answered.

  Scenario Outline: engines that end after <seen>, the part stands <place>
    Given 3 instances and 8 engines that a fatal part ends after <seen>
    When callers ask for 14 s, the fatal part <place>
    Then at most 3 requests with it are sent on later than 3 s after the fifth crash
    And at least half of the sound requests are answered later than 6 s after it

    Examples:
      | seen                                | place            |
      | the head, then a reset              | second of three  |
      | a part of the second event          | first of two     |
      | no framing, a close inside an event | second of three  |
      | nothing, then a reset               | third of four    |

  Scenario Outline: <killed> when the part is known
    Given 3 instances and 8 engines that a fatal part ends after the head, then a reset
    When callers ask for 16 s, the fatal part second of three, and <killed> at 7 s
    Then at most 3 requests with it are sent on later than 3 s after the fifth crash
    And at least half of the sound requests are answered later than 6 s after it

    Examples:
      | killed                    |
      | one instance is killed    |
      | all instances are killed  |

  Scenario: engines that end for another reason
    Given 3 instances and 8 engines of which any request in 8 ends one
    When callers ask for 12 s, no part fatal
    Then no request is refused because of a part of its prompt
