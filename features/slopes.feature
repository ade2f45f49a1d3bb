Feature: Slopes
  `marjoramstage bench slopes` gives what docs/CAPACITY.md is worked out from.

  Scenario: every slope is there, and what is not measured is named
    When the slopes are measured with short runs
    Then the slopes hold each of these parts
      | part          |
      | machine       |
      | message       |
      | request       |
      | token_event   |
      | report        |
      | idle_tick     |
      | lease         |
      | ledger_write  |
      | config_change |
      | memory_bytes  |
      | not_measured  |
    And every time of the slopes is above zero with its spread in order
    And every other cost module is measured or named as not measured
