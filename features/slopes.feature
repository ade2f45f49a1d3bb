Feature: Cost measurements of bench slopes
  `marjoramstage bench slopes` measures the cost of each kind of work;
  docs/CAPACITY.md is calculated from them.

  Scenario: all costs are reported, and those that are not measured are listed
    When the slopes are measured with short runs
    Then the slopes have each of these parts
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
    And every time has a least, median and greatest value above zero in order
    And a cost module that does not exist is reported as not measured
