Feature: A broken answer is never passed on as complete
  Each answer of a target has a length, chunks or neither, and ends as its row says.
  "whole" is the complete body, "truncated" a part that HTTP shows to be one,
  "lost" an error. A repeat or a resumed part is sound. "inside" is inside an event.

  Scenario: whole answers that may not be repeated
    Then each of these answers to /once/ is received as stated
      | framing | ends                 | received |
      | length  | complete             | whole    |
      | length  | complete, then reset | whole    |
      | length  | closed               | lost     |
      | length  | reset                | lost     |
      | chunks  | complete             | whole    |
      | chunks  | complete, then reset | whole    |
      | chunks  | closed               | lost     |
      | chunks  | reset                | lost     |
      | neither | complete             | whole    |
      | neither | complete, then reset | lost     |
      | neither | reset                | lost     |

  Scenario: whole answers that may be repeated
    Then each of these answers to /any/ is received as stated
      | framing                 | ends                          | received |
      | length, chunks, neither | complete                      | whole    |
      | length, chunks          | closed, closed inside         | whole    |
      | length, chunks, neither | reset, reset inside           | whole    |

  Scenario: streams that cannot be resumed
    Then each of these answers to /stream/ is received as stated
      | framing                 | ends                          | received  |
      | length, chunks, neither | complete                      | whole     |
      | length, chunks          | complete, then reset          | whole     |
      | neither                 | complete, then reset          | truncated |
      | length, chunks          | closed                        | truncated |
      | length, chunks, neither | reset, reset inside           | truncated |
      | length, chunks          | closed inside                 | truncated |

  Scenario: a stream that ends inside an event is not complete
    Then each of these answers to /stream/ is received as stated
      | framing                 | ends                          | received  |
      | neither                 | closed inside, empty          | truncated |
      | length, chunks          | ended inside                  | truncated |

  Scenario: streams that are resumed
    Then each of these answers to /resumable-stream/ is received as stated
      | framing                 | ends                                 | received |
      | length, chunks, neither | complete, reset, reset inside        | whole    |
      | length, chunks          | closed, complete, then reset         | whole    |
      | length, chunks          | closed inside                        | whole    |

  Scenario: a resumable stream that ends inside an event is resumed
    Then each of these answers to /resumable-stream/ is received as stated
      | framing                 | ends                                 | received |
      | neither                 | closed inside, empty                 | whole    |
      | length, chunks          | ended inside                         | whole    |

  Scenario: the resumed part of a stream
    Then each of these answers to /resumable-stream/ after a break is received as stated
      | framing                 | ends                                 | received  |
      | length, chunks, neither | complete                             | whole     |
      | length, chunks          | complete, then reset                 | whole     |
      | length, chunks          | closed, closed inside                | truncated |
      | length, chunks, neither | reset, reset inside                  | truncated |

  Scenario: the resumed part of a stream ends inside an event
    Then each of these answers to /resumable-stream/ after a break is received as stated
      | framing                 | ends                                 | received  |
      | neither                 | closed inside, empty                 | truncated |
      | length, chunks          | ended inside                         | truncated |

  Scenario Outline: a stream whose second part <does> is not joined to the first
    Then a /resumable-stream/ of <first> events that goes on with <second> is truncated

    Examples:
      | does                           | first  | second         |
      | is no event stream             | sound  | text           |
      | begins from the start          | sound  | from the start |
      | cannot know where to go on     | no ids | no ids         |

  Scenario Outline: events that do not follow are no part of a resumed stream
    Then a resumed stream with <rest> is <received>, also with a length or neither

    Examples:
      | rest                    | received                |
      | nothing                 | cut after event 3       |
      | an error                | cut after event 3       |
      | an event, then an error | cut after event 3 or 4  |
      | events, then an error   | cut after event 3 to 6  |
      | an event twice          | cut after event 3 or 4  |
      | an earlier event        | cut after event 3 or 4  |
      | an id of letters        | cut after event 3       |
      | keep-alives             | whole, with keep-alives |

  Scenario: an empty rest ends a stream only for a caller that resumes it
    Then a stream reset after event 6, without a length, is cut there
    And the caller that resumes it gets an empty answer, framed as whole

  Scenario: a stream that breaks off after a keep-alive is resumed
    Then a stream that breaks after event 3 and a keep-alive is whole

  Scenario Outline: what a target writes in its own first answer is relayed unchanged
    Then a caller that has events 1 to 3 and resumes gets <rest> unchanged

    Examples:
      | rest                    |
      | an error                |
      | an event, then an error |
      | keep-alives             |

  Scenario Outline: a stream is joined from targets of one software version alone
    Then a stream that breaks <breaks> with targets of versions <versions> is <received>

    Examples:
      | breaks                 | versions | received  |
      | within an event        | v1, v1   | whole     |
      | within an event        | v1, v2   | truncated |
      | within an event        | ?, ?     | truncated |
      | before its first event | v1, v2   | whole     |

  Scenario Outline: a caller takes a stream up, and <case>
    Given targets of versions <versions>, and <known>
    When a caller that has events 1 to 3 takes the stream up and names <named>
    Then it gets <received>

    Examples:
      | case                                  | versions | known                       | named      | received                  |
      | all targets run one version           | v1, v1   | v1 alone was stored         | r0         | events 4 to 6 of any      |
      | names no request                      | v1, v1   | v1 alone was stored         | no request | events 4 to 6 of any      |
      | a version that is gone was stored     | v2, v2   | v1 alone was stored         | r0         | 503 with a time to return |
      | the versions before are not known     | v1, v1   | nobody knows where it began | r0         | 503 with a time to return |
      | none is known, and names no request   | v1, v1   | nobody knows where it began | no request | 503 with a time to return |
      | it was stored                         | v1, v2   | that v2 began it was stored | r0         | events 4 to 6 of v2       |
      | this instance began it                | v1, v2   | this instance began it at v2 | r0        | events 4 to 6 of v2       |
      | another instance began it             | v1, v2   | another began it at v1      | r0         | events 4 to 6 of v1       |
      | nobody knows where it began           | v1, v2   | nobody knows where it began | r0         | 503 with a time to return |
      | names no request, of two versions     | v1, v2   | another began it at v1      | no request | 503 with a time to return |
      | its version is gone                   | v2, v2   | another began it at v1      | r0         | 503 with a time to return |
      | its version was there until now       | v2, v2   | v1 was there until now      | r0         | 503 with a time to return |
      | this instance hears from no other     | v1, v1   | this instance is cut off    | r0         | 503 with a time to return |
      | cut off, and it began it              | v1, v1   | this instance began it at v1 and is cut off | r0 | events 4 to 6 of any |
      | no version is known                   | ?, ?     | nobody knows where it began | r0         | 503 with a time to return |

  Scenario Outline: the end of a resumed stream can be told from its line and the counts
    Given targets of versions <versions>, and <known>
    When a caller that has events 1 to 3 takes the stream up and names r0
    Then its line says <began>, <own> of its version hold the model, <others> others
    And it is counted as a resumed stream: <began>

    Examples:
      | versions | known                  | began          | own | others |
      | v1, v2   | another began it at v1 | it began       | 1   | 1      |
      | v2, v2   | another began it at v1 | it was refused | 0   | 2      |

  Scenario Outline: a head that ends after <part> is no answer
    Then on each route a head that ends after <part>, by close or reset, is lost

    Examples:
      | part                  |
      | nothing               |
      | the version           |
      | the status            |
      | the status line       |
      | half of a name        |
      | a whole header        |
      | half of a value       |
      | all but the length    |
      | all but the last line |

  Scenario: a stream to a caller of HTTP/1.0, which knows no chunks
    Then each of these answers to /stream/ over HTTP/1.0 is received as stated
      | framing                 | ends                                 | received  |
      | length, chunks, neither | complete                             | whole     |
      | length, chunks, neither | reset, reset inside, closed inside   | truncated |

  Scenario: a request whose body breaks off is refused and sent to no target
    When a caller sends a chunk that is none, after its head was read
    Then the caller gets 400 and no target ran the request
    When a caller sends a part of a chunk and then nothing
    Then the caller gets 408 and no target ran the request

  Scenario: answers of the product's own interface
    Then each of these stream answers to a stream is received as stated
      | framing                 | ends                                  | received |
      | length, chunks, neither | complete, complete, then reset        | whole    |
      | length, chunks, neither | closed, closed inside                 | whole    |
      | length, chunks, neither | reset, reset inside                   | whole    |
      | length, chunks, neither | ended inside, empty                   | whole    |
    And each of these JSON answers to a whole is received as stated
      | framing                 | ends                                  | received |
      | length, chunks, neither | complete                              | whole    |
      | length, chunks, neither | closed, closed inside                 | whole    |
      | length, chunks, neither | reset, reset inside                   | whole    |
    And each of these JSON answers to a lookup is received as stated
      | framing                 | ends                                  | received |
      | length, chunks, neither | complete                              | whole    |
      | length, chunks, neither | closed, closed inside                 | whole    |
      | length, chunks, neither | reset, reset inside                   | whole    |
    And each of these text answers to a booking is received as stated
      | framing                 | ends                                  | received |
      | length, chunks          | complete, complete, then reset        | whole    |
      | length, chunks          | closed, reset, reset inside           | lost     |
      | neither                 | reset, reset inside                   | lost     |
      | neither                 | complete, then reset                  | lost     |

  Scenario: an answer without a length that is no JSON, on the product's own interface
    Then each of these text answers to a booking is received as stated
      | framing | ends     | received |
      | neither | complete | whole    |
    And each of these text answers to a lookup is received as stated
      | framing | ends     | received |
      | neither | complete | whole    |

  Scenario: a large answer on the product's own interface
    Then each of these large answers to a booking is received as stated
      | framing                 | ends                                  | received  |
      | length, chunks, neither | complete                              | whole     |
      | length, chunks          | closed, reset                         | truncated |

  Scenario: a large answer without a length whose connection is reset
    Then each of these large answers to a booking is received as stated
      | framing                 | ends                                  | received  |
      | neither                 | reset, complete, then reset           | truncated |
