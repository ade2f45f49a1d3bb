Feature: Memory of an engine is never overcommitted
  A state machine test with two placers: messages are lost, delayed and
  repeated, lease holders pause, and the engine restarts. The engine itself
  counts its memory.

  Scenario Outline: memory is not overcommitted on an engine that <engine>
    When the memory model is checked with an engine that <engine>
    Then the memory model finds no overcommitment

    Examples:
      | engine          |
      | honours fencing |
      | ignores fencing |
      | honours expiry  |

  Scenario Outline: memory model detects a ledger without <rule>
    Given a ledger without <rule>
    When the memory model is checked with an engine that <engine>
    Then the memory model finds an overcommitment

    Examples:
      | rule                        | engine          |
      | the reservation             | ignores fencing |
      | the rule on orders in doubt | ignores fencing |
      | the rule on orders in doubt | honours expiry  |

  Scenario Outline: a delayed load order arrives after the unload, in a ledger without <ledger>
    Given a ledger without <ledger>
    When a load order arrives after the later unload of its model
    Then the memory of the engine is overcommitted <times> times

    Examples:
      | ledger                      | times |
      | any change                  | 0     |
      | the rule on orders in doubt | 1     |
