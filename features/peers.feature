Feature: Messages between instances
  A frame that is wrong closes its own connection and nothing else.

  Scenario Outline: a bad peer frame, <frame>
    When a peer connection sends <frame>
    Then that peer connection is closed without a message
    And another peer connection still delivers its message

    Examples:
      | frame                                |
      | a length of zero                     |
      | a length above the limit             |
      | a hello above the handshake limit    |
      | half a frame and an end              |
      | a length and an end                  |
      | bytes that are no message            |
      | a message before the handshake       |
      | a hello with a wrong proof           |
      | a hello with the wrong secret        |
      | a hello with a short nonce           |
      | a hello that was recorded before     |
      | an empty frame after the handshake   |
      | two messages in one frame            |
      | a message without a needed field     |
      | a text that is not UTF-8             |
      | a list of endless empty elements     |
      | a struct nested without end          |
      | an instance state that is unknown    |

  Scenario: a newer peer sends fields that this version does not know
    When a peer message has an unknown field at each level
    Then the peer message is read as if the fields were not there

  Scenario: an older peer sends no optional field
    When a peer message has only its first fields
    Then the peer message is read with defaults

  Scenario: each kind of peer message survives its encoding
    When each kind of peer message is encoded and decoded
    Then each peer message is the same

  Scenario: a connector refuses an acceptor that does not know the secret
    When a peer client with another secret sends a message
    Then nothing is delivered by that peer client
