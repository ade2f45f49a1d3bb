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
