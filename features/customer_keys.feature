Feature: Customers of the users' platform and their keys
  A fault here gives access to callers without a key, withholds it from customers, or
  shows keys to those who read logs, metrics or messages.

  Scenario Outline: an entry of the list with <entry>
    Given customers good with key k1 and bad with key k2
    And the entry of bad has <entry>
    When the configuration is decoded
    Then k1 belongs to good and k2 to <holder>
    And what was left out is named as <named>, without keys

    Examples:
      | entry                          | holder | named    |
      | nothing wrong                  | bad    | nothing  |
      | name ""                        | nobody | customer 2 of the list |
      | name null                      | nobody | customer 2 of the list |
      | name "a\u00e9"                 | nobody | customer 2 of the list |
      | name "a\nb"                    | nobody | customer 2 of the list |
      | name ["k2"]                    | nobody | customer 2 of the list |
      | rate_per_s -1                  | nobody | bad      |
      | rate_per_s "k2"                | nobody | bad      |
      | rate_per_s 1e999               | nobody | bad      |
      | rate_per_s true                | nobody | bad      |
      | burst -1                       | nobody | bad      |
      | burst 1e999                    | nobody | bad      |
      | plain_tokens "many"            | nobody | bad      |
      | unit "k2"                      | nobody | bad      |
      | unit []                        | nobody | bad      |
      | burst null                     | nobody | bad      |
      | priority -1                    | nobody | bad      |
      | priority 0.5                   | nobody | bad      |
      | rate_per_s 0                   | bad    | nothing  |
      | rate_per_s null                | bad    | nothing  |
      | priority null                  | bad    | nothing  |
      | api_keys "k2"                  | nobody | bad      |
      | api_keys []                    | nobody | nothing  |
      | api_keys null                  | nobody | nothing  |
      | api_keys [7, "k2"]             | bad    | bad      |
      | api_keys ["k\u00e9", "", "k2"] | bad    | bad      |
      | api_keys ["k2", "k2"]          | bad    | nothing  |
      | api_key ["k3"]                 | bad    | nothing  |

  Scenario Outline: a list with <fault>
    Given customers good with key k1 and bad with key k2
    And the list has <fault>
    When the configuration is decoded
    Then k1 belongs to <holder of k1> and k2 to <holder of k2>

    Examples:
      | fault                         | holder of k1 | holder of k2 |
      | bad a second time             | good         | nobody       |
      | bad a second time, without keys | good       | nobody       |
      | k2 listed for good too        | good         | nobody       |
      | k2 listed for an invalid one too | good      | nobody       |
      | a number as an entry          | good         | bad          |
      | two entries without a name    | good         | bad          |

  Scenario: a list that is no list replaces no version
    Then a configuration whose tenants are 7, "k1" or an object is not decoded
    And one whose tenants are null requires no key
    And one without any customer requires keys that nobody holds

  Scenario: only what has changed is digested
    Given a configuration of 10000 customers with 2 keys each
    When it is sealed and decoded, and then again with one changed and one added
    Then 20000 keys are digested at first and 4 after that
    And the changed customer's old key belongs to nobody
    And neither sealed configuration contains a key

  Scenario Outline: a caller sends <headers>
    Then the key found in <headers> is <key>

    Examples:
      | headers                                    | key   |
      | Authorization: Bearer k1                   | k1    |
      | authorization: bearer   k1                 | k1    |
      | Authorization: Basic k1                    | none  |
      | Authorization: k1                          | none  |
      | Authorization: Bearer                      | none  |
      | Authorization: Bearer k1; Authorization: Bearer k1 | none  |
      | Authorization: Bearer k1; AUTHORIZATION: x | none  |
      | Tenant: good                               | none  |

  Scenario Outline: rank of a request
    Given customers with the priorities <customers> and routes with <routes>
    Then requests of <pairs> get the urgencies <urgencies>

    Examples:
      | customers  | routes  | pairs                         | urgencies |
      | none       | 0, 2, 5 | -/0 -/2 -/5                   | 0 2 5     |
      | 0, 1       | 0, 1    | 0/0 0/1 1/0 1/1               | 0 1 2 3   |
      | 1, none    | 0, 1    | -/0 1/0 1/1 -/1               | 0 2 3 3   |
      | 0, 1, 2, 3 | 0, 1, 2 | 0/0 0/2 1/0 2/2 3/0 3/2       | 0 1 2 6 7 9 |
      | 0, 50      | 0, 20   | 0/0 0/20 50/0 50/20           | 0 1 4 5   |

  Scenario Outline: quota in <unit> of a request with the tokens <tokens>
    Then it costs <cost>

    Examples:
      | unit     | tokens  | cost |
      | requests | 100,20  | 1    |
      | tokens   | 100,20  | 120  |
      | tokens   | 0,0     | 0    |
      | tokens   |         | 200  |
      | tokens   | 100     | 200  |
      | tokens   | -5,20   | 200  |
      | tokens   | many,20 | 200  |
