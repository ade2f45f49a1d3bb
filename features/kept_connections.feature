Feature: A connection is used again after a sound answer
  The answers have a body, with a length or in chunks, and come at once, in pieces or
  after an interim response. Requests that may not be repeated have connections of
  their own.

  # Guards against a client that closes its connection once it has read a body.
  Scenario Outline: requests to <to>
    Then 3 requests to <to>, one after the other, use one connection

    Examples:
      | to        |
      | a target  |
      | the store |

  # Guards against an answer that nothing asked for, read as that to the next request.
  Scenario Outline: <more> with the end of an answer to <to>
    Then after <more> with the end of an answer, a request to <to> gets its own answer

    Examples:
      | more                   | to        |
      | a whole answer         | a target  |
      | a whole answer         | the store |
      | an interim answer      | a target  |
      | an interim answer      | the store |
      | a part of an answer    | a target  |
      | a part of an answer    | the store |
