Feature: Memory of an engine is never overcommitted
  A model check with two placers, lost, late and repeated deliveries, paused
  holders and restarts. Memory is counted by the engine itself.

  Scenario Outline: memory model of an engine that <engine>
    When the memory model is checked with an engine that <engine>
    Then the memory model finds no overcommitment

    Examples:
      | engine          |
      | honours fencing |
      | ignores fencing |
      | honours expiry  |

  Scenario Outline: memory model notices a ledger without <rule>
    Given a ledger without <rule>
    When the memory model is checked with an engine that <engine>
    Then the memory model finds an overcommitment

    Examples:
      | rule                        | engine          |
      | the reservation             | ignores fencing |
      | the rule on orders in doubt | ignores fencing |
      | the rule on orders in doubt | honours expiry  |

  Scenario Outline: a load order arrives after the unload that followed it, with <ledger>
    Given a ledger without <ledger>
    When a delayed load order passes the unload of its model
    Then the memory of the engine is overcommitted <times> times

    Examples:
      | ledger                      | times |
      | any change                  | 0     |
      | the rule on orders in doubt | 1     |
