Feature: Data centres and instances that are cut off
  What is in force stays in force; what was missed is caught up on healing.

  Background:
    Given 3 data centres of 3 config nodes with a generation in force

  Scenario: an instance with neither platform nor peers says what it waits for
    Given a separate instance that reaches neither platform nor peers
    Then it is not ready and says that the platform is unavailable and 0 peers are met
    And it ends with exit code 0 on SIGTERM though the platform is away

  Scenario Outline: reached in spite of a cut, <cut>
    When config nodes are cut off so that <cut>
    And a generation is accepted during the config cut
    Then the latest generation is in force at every config node within 9 s
    And no config node reverted or held what was never accepted

    Examples:
      | cut                                                |
      | d1 cannot reach the platform                       |
      | d1 cannot reach the other data centres             |
      | no instance of d1 reaches another one of d1        |
      | d1-i1 hears nobody of d1                           |
      | nobody of d1 hears d1-i1                           |
      | d1 reaches the others but does not hear them       |
      | only d3-i1 reaches the platform                    |

  Scenario Outline: caught up after a cut, <cut>
    When config nodes are cut off so that <cut>
    And a generation is accepted during the config cut
    Then the cut config nodes keep what was in force
    When the config cut is healed
    Then the latest generation is in force at every config node within 9 s
    And no config node reverted or held what was never accepted

    Examples:
      | cut                                                |
      | d1 reaches neither platform nor other data centres |
      | d1-i1 reaches nothing                              |
      | everybody reaches nothing                          |
