Feature: An answer with a broken head reaches no caller
  The head of a target's answer is broken in one place; its body is sound. The caller
  gets 502, or the answer of another target if the request may be repeated.

  # Guards against statuses that don't exist and that were passed on.
  Scenario: status lines
    Then no caller gets an answer with one of these heads
      | part        | text                          |
      | status line | HTTP/1.1 000 OK               |
      | status line | HTTP/1.1 000                  |
      | status line | HTTP/1.1 001 OK               |
      | status line | HTTP/1.1 099 OK               |
      | status line | HTTP/1.1 101 OK               |
      | status line | HTTP/1.1 600 OK               |
      | status line | HTTP/1.1 999 OK               |
      | status line | HTTP/1.1 20 OK                |
      | status line | HTTP/1.1 2000 OK              |
      | status line | HTTP/1.1 -20 OK               |
      | status line | HTTP/1.1 OK                   |
      | status line | HTTP/1.1<SP><SP>200 OK        |
      | status line | HTTP/1.1 200 O<SOH>K          |
      | status line | HTTP/1.1 200 O<NUL>K          |
      | status line | HTTP/1.1 200 O<DEL>K          |
      | status line | HTTP/1.1 200 O<CR>K           |
      | status line | HTTP/2.0 200 OK               |
      | status line | HTTP/0.9 200 OK               |
      | status line | RTSP/1.0 200 OK               |

  # Guards against names that another parser reads in another way.
  Scenario: names of headers
    Then no caller gets an answer with one of these heads
      | part       | text                          |
      | first line | <SP>X: 1                      |
      | first line | <TAB>X: 1                     |
      | first line | <SP>Content-Length: 1         |
      | first line | X Y: 1                        |
      | first line | X<SP>: 1                      |
      | first line | X<TAB>: 1                     |
      | first line | X<SOH>Y: 1                    |
      | first line | X<NUL>Y: 1                    |
      | first line | X<DEL>Y: 1                    |
      | first line | X<CR>Y: 1                     |
      | first line | X<LF>Y: 1                     |
      | first line | X<80>: 1                      |
      | first line | X(Y): 1                       |
      | first line | : 1                           |
      | first line | X                             |
      | last line  | <SP>X: 1                      |
      | last line  | <TAB>X: 1                     |
      | last line  | X Y: 1                        |
      | last line  | X<SP>: 1                      |
      | last line  | X<SOH>: 1                     |
      | last line  | <SOH>: 1                      |
      | last line  | X<VT>Y: 1                     |
      | last line  | Transfer-Encoding<SP>: chunked |
      | last line  | Transfer Encoding: chunked    |
      | last line  | Content-Length<SOH>: 1        |
      | last line  | Content-Length<SP>: 1         |

  Scenario: values of headers
    Then no caller gets an answer with one of these heads
      | part       | text                |
      | first line | X: a<NUL>b          |
      | first line | X: a<SOH>b          |
      | first line | X: a<VT>b           |
      | first line | X: a<ESC>b          |
      | first line | X: a<DEL>b          |
      | last line  | X: a<CR>b           |
      | last line  | Stamp: a<SOH>b      |
      | last line  | Stamp: a<CR><LF><SP>b |

  # Guards against a coded body that is passed on without the name of its coding.
  Scenario: transfer codings
    Then no caller gets an answer with one of these heads
      | part   | text             |
      | coding | gzip             |
      | coding | xchunked         |
      | coding | chunked, gzip    |
      | coding | gzip, chunked    |
      | coding | chunked, chunked |

  # Guards against checks that refuse what HTTP allows.
  Scenario: unusual heads that are sound
    Then each of these heads reaches the caller as an answer
      | part        | text                          | status |
      | status line | HTTP/1.1 200 OK               | 200    |
      | status line | HTTP/1.1 200                  | 200    |
      | status line | HTTP/1.1 200<SP>              | 200    |
      | status line | HTTP/1.0 200 OK               | 200    |
      | status line | HTTP/1.1 200 tr<E9>s<TAB>bien | 200    |
      | status line | HTTP/1.1 299 Odd              | 299    |
      | status line | HTTP/1.1 499 Odd              | 499    |
      | first line  | X:                            | 200    |
      | first line  | X:1                           | 200    |
      | first line  | x!#$%&'*+-.^_`~9: 1           | 200    |
      | last line   | X: a<TAB>b<E9>                | 200    |
      | last line   | X: a, b: c<SP><SP>            | 200    |
      | coding      | chunked                       | 200    |
      | coding      | Chunked                       | 200    |
      | coding      | identity                      | 200    |

  Scenario: sound heads whose lines end without a carriage return
    Then a head with bare line feeds reaches the caller as an answer

  # Guards against a broken answer after a sound one, and its connection in use again.
  Scenario: a broken head on a connection that is kept
    Then the second answer on a connection with one of these heads is not passed on
      | part        | text            |
      | status line | HTTP/1.1 000 OK |
      | status line | HTTP/1.1 101 OK |
      | first line  | <SP>X: 1        |
      | last line   | X<SOH>Y: 1      |

  Scenario: answers to the product's own callers
    Then no caller of the product's interface gets an answer with one of these heads
      | part        | text            |
      | status line | HTTP/1.1 000 OK |
      | status line | HTTP/1.1 101 OK |
      | status line | HTTP/1.1 600 OK |
      | first line  | <SP>X: 1        |
      | first line  | X<SOH>Y: 1      |
      | last line   | X<SP>: 1        |

  # Guards against control calls that take a broken answer for a success.
  Scenario: answers to control calls and calls of the store
    Then each client fails on an answer with one of these heads
      | part        | text            |
      | status line | HTTP/1.1 000 OK |
      | status line | HTTP/1.1 101 OK |
      | status line | HTTP/1.1 999 OK |
      | first line  | <SP>X: 1        |
      | last line   | X<SOH>Y: 1      |
