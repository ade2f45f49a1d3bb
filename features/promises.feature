Feature: Expected results of generated traces
  The header of a trace states the expected results. Some scenarios run here, for
  a minute each; `marjoramstage bench report` checks all of them at any length.

  Scenario Outline: <trace> meets its expectations
    Given the generated trace <trace> of 1 minute
    When the generated trace is replayed with the current policy
    Then every expectation of the generated trace is met

    Examples:
      | trace                       |
      | tran-gia-usual              |
      | tran-gia-flood              |
      | tran-gia-faults             |
      | campanas-andinas-usual      |

  Scenario Outline: an expectation that is not met is reported
    Given a generated trace that expects <name> to be <wanted>
    Then its replay by policy static misses "<message>"

    Examples:
      | name              | wanted       | message                  |
      | met               | -1           | must be -1               |
      | met               | {"max": -1}  | must be at most -1       |
      | moves             | {"min": 1e9} | must be at least         |
      | happiness         | 1            | happiness: no such figure |
      | met               | {"mid": 1}   | unknown bound 'mid'      |
