Feature: Recorded traces
  Each trace states its outcome in its header. These run a minute of each;
  `marjoramstage bench report` checks all of them at any length.

  Scenario Outline: <trace> meets its stated outcome
    Given the recorded trace <trace> of 1 minute
    When the recorded trace is replayed with the current policy
    Then every stated outcome of the recorded trace is met

    Examples:
      | trace                       |
      | tran-gia-usual              |
      | tran-gia-flood              |
      | tran-gia-faults             |
      | campanas-andinas-usual      |

  Scenario Outline: a stated outcome that is not met is named
    Given a recorded trace that states <name> as <wanted>
    Then its replay by policy static misses "<message>"

    Examples:
      | name              | wanted       | message                  |
      | met               | -1           | must be -1               |
      | met               | {"max": -1}  | must be at most -1       |
      | moves             | {"min": 1e9} | must be at least         |
      | happiness         | 1            | happiness: no such figure |
      | met               | {"mid": 1}   | unknown bound 'mid'      |
