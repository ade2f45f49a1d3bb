Feature: Messages between instances
  An invalid frame closes the connection it came on, and no other.

  Scenario Outline: an invalid peer frame, <frame>
    When a peer connection sends <frame>
    Then that peer connection is closed and no message is delivered
    And another peer connection still delivers its message

    Examples:
      | frame                                |
      | a length of zero                     |
      | a length above the limit             |
      | a hello above the handshake limit    |
      | an incomplete frame, then the end    |
      | a length, then the end               |
      | bytes that are not a message         |
      | a message before the handshake       |
      | a hello with a wrong proof           |
      | a hello with the wrong secret        |
      | a hello with a short nonce           |
      | a replayed hello                     |
      | an empty frame after the handshake   |
      | two messages in one frame            |
      | a message without a required field   |
      | a text that is not UTF-8             |
      | an endless list of empty elements    |
      | an endlessly nested struct           |
      | an unknown instance state            |

  Scenario: a newer peer sends fields that are unknown to this version
    When a peer message has an unknown field at each level
    Then the peer message is read as if the fields were not there

  Scenario: an older peer sends no optional field
    When a peer message has only its first fields
    Then the peer message is read with defaults

  Scenario: the structs of the messages are those of the IDL
    When the IDL of the messages is parsed
    Then the committed structs have the same fields

  Scenario: each kind of peer message survives its encoding
    When each kind of peer message is encoded and decoded
    Then each peer message is the same

  Scenario: a connector refuses an acceptor that does not know the secret
    When a peer client with another secret sends a message
    Then nothing is delivered by that peer client

  Scenario Outline: a <side> of peer messages that is stopped as a message comes ends
    When a <side> of peer messages is cancelled up to 12 steps after a message
    Then each of them ended

    Examples:
      | side   |
      | reader |
      | sender |
