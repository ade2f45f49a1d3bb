@processes @alone
Feature: Odd entries of the store
  Another writer may leave an entry that no parser takes. It names no target; the others
  hold, and instances go on to follow the list. Separate processes and stand-ins.

  Scenario Outline: <entry> among the targets
    Given 2 instances with services s1 and s2
    When <entry> is written among the targets
    And an instance starts
    Then all 3 instances are ready within 8 s and serve
    When service s3 is added and s1 and s2 are removed
    Then all 3 instances are served by s3 within 6 s

    Examples:
      | entry                                   |
      | an entry nested 4000 levels deep        |
      | an entry nested 200000 levels deep      |
      | an entry with a number of 5000 digits   |
      | a text of an entry nested 4000 levels   |
      | an entry with a port of 5000 digits     |
      | an entry with slots of 400 digits       |
      | an entry born at a time of 400 digits   |
      | an entry with 400 digits of time left   |
      | an entry with its time left as a text   |
      | a text of 200000 bytes without an end   |
      | a text of 1000000 bytes without an end  |

  # Guards against an entry that keeps the event loop of every instance busy.
  Scenario Outline: <entry> among the configurations
    Given 2 instances with services s1 and s2
    When <entry> is written among the configurations
    And an instance starts
    Then all 3 instances are ready within 8 s and serve

    Examples:
      | entry                                   |
      | a text of 200000 bytes without an end   |
      | a text of 1000000 bytes without an end  |

  Scenario Outline: the document <text>
    Then it is read as <value>

    Examples:
      | text                      | value                |
      | [1, {"a": [2]}]           | [1, {"a": [2]}]      |
      | deep array in [1, X, 2]   | [1, deep, 2]         |
      | deep object in [1, X, 2]  | [1, deep, 2]         |
      | big number in [1, X, 2]   | [1, null, 2]         |
      | brackets in text, [1, X]  | [1, text]            |
      | unfinished [1, X          | no JSON              |
      | unfinished deep [1, X     | no JSON              |
      | too many ]                | no JSON              |
