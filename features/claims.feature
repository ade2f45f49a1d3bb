Feature: At most once with an idempotency key
  Two instances, a target that counts its runs, and a platform with scripted
  faults.

  Scenario Outline: the platform fails while the claim or the outcome is written
    When a keyed booking is sent while the platform has <fault>
    Then the keyed booking got <first>
    When the platform works and the key is sent to the other instance
    Then the repeat of the key got <repeat>
    And the keyed booking ran <runs> times

    Examples:
      | fault                                   | first                 | repeat                | runs |
      | no fault                                | 201 ran               | 201 ran               | 1    |
      | lost the answer of the claim            | 201 ran               | 201 ran               | 1    |
      | lost the request of the claim           | 201 ran               | 201 ran               | 1    |
      | lost the answer of the outcome          | 201 ran               | 201 ran               | 1    |
      | lost the request of the outcome         | 201 ran               | 201 ran               | 1    |
      | been down from the start                | 503 not-run           | 201 ran               | 1    |
      | gone down after the claim               | 201 ran               | 409 may-have-run      | 1    |
      | the instance killed after the claim     | -                     | 409 may-have-run      | 0    |
      | the instance killed after the outcome   | -                     | 201 ran               | 1    |
      | the caller disconnected after the claim | -                     | 201 ran               | 1    |

  Scenario Outline: a key that is sent more than once
    When <what>
    Then the keyed answers are <answers>
    And the keyed booking ran <runs> times

    Examples:
      | what                                             | answers                          | runs |
      | a key is repeated at the other instance meanwhile | 201 ran, 409 may-have-run       | 1    |
      | a key is repeated at the same instance meanwhile | 201 ran, 409 may-have-run        | 1    |
      | a key is sent again with another body            | 201 ran, 422 not-run             | 1    |
      | two customers send the same key                  | 201 ran, 201 ran                 | 2    |
      | 40 repeats of a key arrive at both instances     | 1 ran, 39 replayed or in doubt   | 1    |

  Scenario: a request that has not run releases its key
    When a keyed booking finds its target refusing connections
    Then the keyed booking got 503 not-run
    And the platform holds no claim

  Scenario: random faults and interleavings of six requests
    When 300 seeds run six concurrent requests with one key on a failing platform
    Then no key ran twice, and every answer came from the one run
