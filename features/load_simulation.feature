Feature: Results of callers under simulated load
  The instances run the product's own decisions on a virtual clock, with simulated
  engines that read prompts between the tokens of their running streams.

  Scenario: holding prompts back keeps the pauses of streams short
    Given 6 engines and 20 models under 0.75 of the load of a busy hour
    When 16 s of it are simulated with and without holding prompts back, 4 times
    Then fewer than two thirds as many streams pause too long
    And at most 1 in 100 more requests is refused or cut off
    And more requests are answered in time

  Scenario: callers get more where memory for context runs out before the slots
    Given 10 engines that batch 96 requests and have memory for 40 of them
    When 20 s are simulated with and without regard to that memory, 10 times
    Then callers earn more of their value
    And no class earns less than 0.4 of its value

  Scenario Outline: deferrable requests are served under the heaviest load, seed <seed>
    Given 6 engines and 20 models under 1.0 of the load of a busy hour
    And two engines fail for some seconds
    When 34 s of it are simulated, seed <seed>
    Then deferrable requests earn at least 0.25 of their value
    And no engine was ordered to load more than fits
    And at most 1 in 10 of the models in demand was never served

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 13   |
      | 18   |
      | 32   |
      | 33   |
      | 48   |

  Scenario Outline: rare models of a fleet are not starved by others, seed <seed>
    Given 30 engines and 104 models, of which 54 are asked for rarely
    And four engines fail for some seconds
    When 34 s of the fleet's load are simulated, seed <seed>
    Then at most 1 in 10 of the models in demand was never served
    And no engine was ordered to load more than fits

    Examples:
      | seed |
      | 1    |
      | 3    |

  Scenario Outline: models are loaded for streams whose callers wait for them, <versions>
    Given 6 engines and 20 models under 1.2 of the load of a busy hour
    And engines run <versions> by turns, and two fail at a time, three times
    When 30 s are simulated in which callers resume streams, seeds 1 to 12
    Then resumed deferrable streams go on at least half as often as new ones begin

    Examples:
      | versions  |
      | v1 and v2 |
      | v1        |

  Scenario Outline: resumed streams are not refused while new ones begin, <versions>, seed <seed>
    Given 6 engines and 20 models under 1.2 of the load of a busy hour
    And engines run <versions> by turns, and two fail at a time, three times
    When 30 s are simulated in which callers resume streams, seed <seed>
    Then resumed streams go on at least half as often as new ones begin

    Examples:
      | versions  | seed |
      | v1 and v2 | 1    |
      | v1 and v2 | 2    |
      | v1 and v2 | 4    |
      | v1 and v2 | 6    |
      | v1        | 1    |
      | v1        | 2    |
      | v1        | 3    |
      | v1        | 4    |
