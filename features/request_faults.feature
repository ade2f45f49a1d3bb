Feature: Faults at each step of a request
  A scripted TCP target runs a request once its complete body has arrived, and
  counts the runs. Columns: the status and verdict that the caller received, how
  often the target ran the request, and the received body. "-" means no response.

  Scenario: a streamed completion, which is idempotent
    Then each of these cells of kind stream ends as stated
      | fault            | steps                                           | status | verdict      | runs | received        |
      | target kill      | before connect                                  | 503    | not-run      | 0    | error deadline  |
      | target kill      | connected, header sent, body half sent          | 502    | may-have-run | 0    | error target    |
      | target kill      | accepted                                        | 502    | may-have-run | 1    | error target    |
      | target kill      | first chunk                                     | 200    | may-have-run | 1    | 1 then error    |
      | target kill      | mid-stream                                      | 200    | may-have-run | 1    | 2 then error    |
      | target kill      | last chunk                                      | 200    | may-have-run | 1    | 4 then error    |
      | target kill      | answer sent                                     | 200    | may-have-run | 1    | all             |
      | cut              | connected, header sent, body half sent          | 200    | may-have-run | 1    | all             |
      | cut              | accepted                                        | 200    | may-have-run | 2    | all             |
      | cut              | first chunk, mid-stream, last chunk, answer sent | 200   | may-have-run | 1    | all             |
      | freeze           | connected, header sent, body half sent          | 504    | may-have-run | 0    | error timeout   |
      | freeze           | accepted                                        | 504    | may-have-run | 1    | error timeout   |
      | freeze           | first chunk                                     | 200    | may-have-run | 1    | 1 then error    |
      | freeze           | mid-stream                                      | 200    | may-have-run | 1    | 2 then error    |
      | freeze           | last chunk                                      | 200    | may-have-run | 1    | 4 then error    |
      | freeze           | answer sent                                     | 200    | may-have-run | 1    | all             |
      | late answer      | connected, header sent, body half sent, accepted | 200   | may-have-run | 1    | all             |
      | late answer      | first chunk, mid-stream, last chunk, answer sent | 200   | may-have-run | 1    | all             |
      | duplicate answer | first chunk, mid-stream, answer sent            | 200    | may-have-run | 1    | all             |
      | lost chunk       | mid-stream                                      | 200    | may-have-run | 1    | all             |
      | caller gone      | connected, header sent, body half sent, accepted | -     | -            | 1    | nothing         |
      | caller gone      | first chunk                                     | 200    | may-have-run | 1    | 1 then break    |
      | caller gone      | mid-stream                                      | 200    | may-have-run | 1    | 2 then break    |
      | caller gone      | last chunk                                      | 200    | may-have-run | 1    | 4 then break    |
      | instance kill    | accepted                                        | -      | -            | 1    | nothing         |
      | instance kill    | first chunk                                     | 200    | may-have-run | 1    | 1 then break    |
      | instance kill    | mid-stream                                      | 200    | may-have-run | 1    | 2 then break    |
      | instance kill    | last chunk                                      | 200    | may-have-run | 1    | 4 then break    |
      | instance kill    | answer sent                                     | 200    | may-have-run | 1    | all             |

  Scenario: a whole completion, which is idempotent
    Then each of these cells of kind whole ends as stated
      | fault            | steps                                                     | status | verdict      | runs | received       |
      | target kill      | before connect                                            | 503    | not-run      | 0    | error deadline |
      | target kill      | connected, header sent, body half sent                    | 502    | may-have-run | 0    | error target   |
      | target kill      | accepted, first chunk, mid-stream, last chunk             | 502    | may-have-run | 1    | error target   |
      | target kill      | answer sent                                               | 200    | ran          | 1    | all            |
      | cut              | connected, header sent, body half sent                    | 200    | ran          | 1    | all            |
      | cut              | accepted, first chunk, mid-stream, last chunk             | 200    | ran          | 2    | all            |
      | cut              | answer sent                                               | 200    | ran          | 1    | all            |
      | freeze           | connected, header sent, body half sent                    | 504    | may-have-run | 0    | error timeout  |
      | freeze           | accepted, first chunk, mid-stream, last chunk             | 504    | may-have-run | 1    | error timeout  |
      | freeze           | answer sent                                               | 200    | ran          | 1    | all            |
      | late answer      | connected, header sent, body half sent, accepted          | 200    | ran          | 1    | all            |
      | late answer      | first chunk, mid-stream, last chunk, answer sent          | 200    | ran          | 1    | all            |
      | duplicate answer | answer sent                                               | 200    | ran          | 1    | all            |
      | caller gone      | connected, header sent, accepted, mid-stream              | -      | -            | 1    | nothing        |
      | instance kill    | accepted, first chunk, mid-stream, last chunk             | -      | -            | 1    | nothing        |

  Scenario: a lookup, which is idempotent
    Then each of these cells of kind lookup ends as stated
      | fault            | steps                                                     | status | verdict      | runs | received       |
      | target kill      | before connect                                            | 503    | not-run      | 0    | error deadline |
      | target kill      | connected, header sent                                    | 502    | may-have-run | 0    | error target   |
      | target kill      | accepted, first chunk, mid-stream, last chunk             | 502    | may-have-run | 1    | error target   |
      | cut              | connected, header sent                                    | 200    | ran          | 1    | all            |
      | cut              | accepted, first chunk, mid-stream, last chunk             | 200    | ran          | 2    | all            |
      | freeze           | accepted, first chunk, mid-stream, last chunk             | 504    | may-have-run | 1    | error timeout  |
      | late answer      | accepted, first chunk, mid-stream, last chunk             | 200    | ran          | 1    | all            |
      | caller gone      | connected, header sent, accepted, mid-stream              | -      | -            | 1    | nothing        |
      | instance kill    | accepted, mid-stream                                      | -      | -            | 1    | nothing        |

  Scenario Outline: a booking, which may not be repeated
    Then each of these cells of kind <kind> ends as stated
      | fault            | steps                                                     | status | verdict      | runs | received       |
      | target kill      | before connect                                            | 503    | not-run      | 0    | error deadline |
      | target kill      | connected, header sent, body half sent                    | 502    | may-have-run | 0    | error target   |
      | target kill      | accepted, first chunk, mid-stream, last chunk             | 502    | may-have-run | 1    | error target   |
      | target kill      | answer sent                                               | 201    | ran          | 1    | all            |
      | cut              | connected, header sent, body half sent                    | 502    | may-have-run | 0    | error target   |
      | cut              | accepted, first chunk, mid-stream, last chunk             | 502    | may-have-run | 1    | error target   |
      | cut              | answer sent                                               | 201    | ran          | 1    | all            |
      | freeze           | connected, header sent, body half sent                    | 504    | may-have-run | 0    | error timeout  |
      | freeze           | accepted, first chunk, mid-stream, last chunk             | 504    | may-have-run | 1    | error timeout  |
      | freeze           | answer sent                                               | 201    | ran          | 1    | all            |
      | late answer      | connected, header sent, body half sent, accepted          | 201    | ran          | 1    | all            |
      | late answer      | first chunk, mid-stream, last chunk, answer sent          | 201    | ran          | 1    | all            |
      | duplicate answer | answer sent                                               | 201    | ran          | 1    | all            |
      | caller gone      | connected, header sent, accepted, mid-stream, last chunk  | -      | -            | 1    | nothing        |
      | instance kill    | accepted, first chunk, mid-stream, last chunk             | -      | -            | 1    | nothing        |

    Examples:
      | kind    |
      | booking |
      | put     |
      | keyed   |
