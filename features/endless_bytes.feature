@processes
Feature: Bytes without end are bounded wherever they are read
  An instance is a process of its own; its peers send as fast as they can until
  their connection is closed. 300 MB is the memory of a machine, 80 MB what is
  taken of a body at most, with the buffers of the sockets; 10 MB is taken of bytes
  that are no body.

  Scenario: answers of targets
    Given an instance with a target whose answers have no end
    When 2 requests at once get each kind of endless answer
      | kind                   | path     | most MB |
      | status line            | /once/x  | 10      |
      | header                 | /once/x  | 10      |
      | header lines           | /once/x  | 10      |
      | interim responses      | /once/x  | 10      |
      | body                   | /once/x  | 80      |
      | body with a length     | /once/x  | 80      |
      | chunks                 | /once/x  | 80      |
      | small chunks           | /once/x  | 80      |
      | chunk size             | /once/x  | 10      |
      | chunk extension        | /once/x  | 10      |
      | trailers               | /once/x  | 10      |
      | answers                | /any/x   | 10      |
      | bytes after the answer | /any/x   | 10      |
      | event                  | /chat/x  | 10      |
      | lines of an event      | /chat/x  | 10      |
      | chunks of an event     | /chat/x  | 10      |
      | events                 | /chat/x  | 80      |
    Then no more of each was taken and its connections are closed
    And no attempt was ended by its timeout
    And the instance never took more than 300 MB of memory and still serves

  # Guards against answers that are bounded one by one, and together end the process.
  Scenario: answers of targets to a crowd
    Given an instance with a target whose answers have no end
    When 100 requests at once get each kind of endless answer
      | kind              | path     | most MB |
      | header            | /once/x  | 10      |
      | interim responses | /once/x  | 10      |
      | body              | /once/x  | 80      |
      | small chunks      | /once/x  | 80      |
      | event             | /chat/x  | 10      |
      | events            | /chat/x  | 80      |
    Then no more of each was taken and its connections are closed
    And the instance never took more than 300 MB of memory and still serves

  Scenario: requests of callers
    Given an instance with a target whose answers have no end
    When 4 callers at once send each kind of endless request
      | kind            | most MB |
      | request line    | 10      |
      | header          | 10      |
      | header lines    | 10      |
      | body            | 80      |
      | chunks          | 80      |
      | chunk size      | 10      |
      | chunk extension | 10      |
      | trailers        | 10      |
      | no request      | 10      |
    Then no more of each was taken and its connections are closed
    And the instance never took more than 300 MB of memory and still serves

  Scenario: bytes at the other ports of an instance
    Given an instance with a target whose answers have no end
    When endless bytes of kind no request are sent to its ports for probes, metrics and peers
    Then no more of each was taken and its connections are closed
    And the instance never took more than 300 MB of memory and still serves

  Scenario Outline: answers of the store without end of <kind>
    Given an instance with a target whose answers have no end
    When the store sends an endless <kind> for 4 s
    Then the instance took at most <most> MB from the store and serves on

    Examples:
      | kind              | most |
      | body              | 300  |
      | header lines      | 100  |
      | interim responses | 100  |
      | chunk extension   | 100  |

  Scenario: reports of an engine without end
    Given an instance with a target whose answers have no end
    When an engine joins whose reports have no end
    Then the instance took at most 100 MB in reports within 4 s and still serves

  # Guards against control calls whose answers are read to their end.
  Scenario Outline: answers to <call> are an endless <kind>
    Given an instance with a target whose answers have no end
    When an engine joins whose answers to <call> are an endless <kind>
    And a model that it lacks is asked for, for 4 s
    Then the instance took at most 100 MB in these answers and still serves

    Examples:
      | call    | kind              |
      | reports | header lines      |
      | reports | interim responses |
      | reports | chunks            |
      | orders  | header lines      |
      | orders  | body              |
      | orders  | chunk extension   |

  Scenario: answers on the product's own interface
    When 2 requests at once get each kind of endless answer on the product's interface
      | kind               | request | most MB |
      | header lines       | booking | 10      |
      | interim responses  | booking | 10      |
      | body               | booking | 80      |
      | body               | keyed   | 30      |
      | chunks             | booking | 80      |
      | chunk extension    | booking | 10      |
      | trailers           | booking | 10      |
      | event              | stream  | 10      |
      | lines of an event  | stream  | 10      |
      | chunk extension    | stream  | 10      |
    Then no more of each was taken and its connections are closed
