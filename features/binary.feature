@processes
Feature: One binary, one process
  ./dev binary builds a single file. It unpacks into one memory-backed
  directory and writes nowhere else.

  Scenario: the binary shows its help
    Given the binary and an empty memory-backed directory
    When the binary is run with --help
    Then the binary ends with exit code 0 and names its commands

  Scenario: the binary serves
    Given the binary and an empty memory-backed directory
    And the binary has unpacked itself
    When the binary serves as an instance that may not write to any file
    Then the binary answers a booking
    And the binary has no child process
    And the binary has no io_uring descriptor or mapping and shares no memory
    And the binary has no file open for writing outside its directory
    And its home, temporary and working directories are still empty
    And the binary ends with exit code 0 on SIGTERM
