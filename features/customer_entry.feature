Feature: Customers' keys at instances as processes
  A fault here serves callers that hold no key, or shows a key to targets or in logs.

  Scenario: from the first configuration to a removed key
    Given a store without a configuration, service s1 and 2 instances
    Then every instance answers 503, never 401, to a request with any key
    When a configuration with customers is accepted
    Then every instance answers requests as stated
      | request                         | path     | status | customer |
      | without a key                   | /once/x  | 401    |          |
      | with an unknown key             | /once/x  | 401    |          |
      | with good's key                 | /once/x  | 200    | good     |
      | with the key of good twice      | /once/x  | 401    |          |
      | with the key of good without a scheme | /once/x | 401 |          |
      | with bytes above 127            | /once/x  | 401    |          |
      | with a key of 64 KB             | /once/x  | 400    |          |
      | with the key of an invalid customer | /once/x | 401   |          |
      | with good's key and other names | /once/x  | 200    | good     |
      | without a key                   | /none/x  | 404    |          |
      | without a key                   | /open/x  | 200    | nobody   |
      | with an unknown key             | /open/x  | 200    | nobody   |
      | with good's key                 | /open/x  | 200    | good     |
      | without an id                   | /once/x  | 400    |          |
    And a request without a key is refused before its body is sent
    And a request without a key is not told to send its body
    When the key of good is removed
    Then after 3 s every instance refuses it, and serves the other key of good
    When an instance is killed and started again
    Then it refuses the removed key from its first answer on
    And the refused requests are logged with their causes and counted
    And no log line, metric or header at a target contains a key
