Feature: An answer proves something only of the request that it belongs to
  The target answers r1 and sends that answer once more on the kept connection.
  Request r2 runs at the target, so its caller gets r2's answer, or 502.

  Scenario: a repeated refusal is no proof that the next request did not run
    Then the caller of the next request on each route gets as stated
      | route                                           | first    | repeated with      | body            | when                            | gets |
      | /any/, /resumable-stream/                       | refusal, 421 | its own id, no id | a length, empty | as the next arrives          | 502  |
      | /any/, /resumable-stream/                       | refusal, 421 | its own id, no id | a length, empty | glued to the first, 50 ms later | 200 |
      | /once/, /stream/                                | refusal, 421 | its own id, no id | a length, empty | glued to the first, 50 ms later, as the next arrives | 200 |

  Scenario: a repeated answer is not taken for that of the next request
    Then the caller of the next request on each route gets as stated
      | route                                           | first    | repeated with      | body            | when                            | gets |
      | /any/, /resumable-stream/                       | 200      | its own id, no id  | a length, empty | as the next arrives             | 502  |
      | /any/, /resumable-stream/                       | 200      | its own id, no id  | a length, empty | glued to the first, 50 ms later | 200  |
      | /once/, /stream/                                | 200      | its own id, no id  | a length, empty | glued to the first, 50 ms later, as the next arrives | 200 |

  Scenario: a refusal of the request itself is proof
    Then a refused request on each route is refused by the instance
      | route                                      | refusal      | carries     | connection  |
      | /once/, /any/, /stream/, /resumable-stream/ | refusal, 421 | its own id, no id | new   |
      | /any/, /resumable-stream/                  | refusal, 421 | its own id  | used before |

  Scenario: a 400 without an id on a new connection is relayed
    Then each of these routes relays a 400 without an id from a new connection
      | route                                       |
      | /once/, /any/, /stream/, /resumable-stream/ |

  Scenario: a connection with an answer that belongs to no request is not used again
    Then no request follows such an answer on its connection
      | route                     | first            | repeated with     | body            |
      | /any/, /resumable-stream/ | refusal, 421, 200 | its own id, no id | a length, empty |
