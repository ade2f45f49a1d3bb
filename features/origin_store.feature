@processes
Feature: What instances store of versions and streams
  An instance that starts relies on the version that it sees only if it knows which
  ones were there before.

  Scenario Outline: an instance starts, <case>
    Given a store with the records <records>
    When an instance starts that sees targets of <seen>
    Then it <takes> streams whose beginning nobody knows for those of v1

    Examples:
      | case                                | records                | seen   | takes         |
      | the first of all                    | none                   | v1     | takes         |
      | one version was there before        | chat: v1               | v1     | takes         |
      | another version was there before    | chat: v0               | v1     | does not take |
      | two versions were there before      | chat: v0 v1            | v1     | does not take |
      | two instances saw different ones    | chat: v0; chat: v1     | v1     | does not take |
      | another service was there before    | other: v1              | v1     | does not take |
      | a record is garbled                 | garbled                | v1     | does not take |
      | the store can't be read             | unreadable             | v1     | does not take |
      | two versions are there              | none                   | v1 v2  | does not take |

  Scenario: what an instance writes
    Given a store with the records none
    When an instance starts that sees targets of v1
    Then its record has v1 and no streams, and is written once in 10 s
    When streams s1 and s2 begin at v1, and targets of v2 come
    Then within 1 s its record has v1 v2 and the streams s1 s2
    When targets of v1 leave and 31 s pass
    Then its record has v2 and no streams

  Scenario Outline: young streams are known after all instances were killed, <n> instances <holder>
    Given <n> instances <holder> see targets of v1 and v2 and relay streams
    When each begins a stream and all are killed <after> s later
    Then an instance that starts finds the versions of at least <found> of these streams
    And the store got at most <calls> calls in the 30 s before

    Examples:
      | n   | holder                  | after | found | calls |
      | 2   | that all know of begun streams | 0.6   | 2     | 86    |
      | 7   | that all know of begun streams | 0.25  | 7     | 300   |
      | 60  | that all know of begun streams | 0.25  | 60    | 1500  |
      | 195 | that all know of begun streams | 0.6   | 195   | 1365  |
      | 7   | with a holder that knows of none | 0.8   | 7     | 300   |

  Scenario: a stream that two versions are said to have begun is not resumed
    Given a store with the records chat: v1 v2
    When an instance starts that sees targets of v1 v2
    And stream s1 is stored as begun at v1 by one instance and at v2 by another
    Then the version of s1 is not known

  Scenario Outline: a stream that was stored just after the last read is resumed, <case>
    Given a store with the records chat: v1 v2
    When an instance starts that sees targets of v1 v2
    And a read of the store has just begun, and s9 is stored as begun at v1 by another
    And <count> requests in <for> s resume <stream>, the first 0.2 s later
    Then each is resumed at "<version>" within 1 s, with <reads> reads

    Examples:
      | case             | count | for | stream | version | reads |
      | one request      | 1     | 1   | s9     | v1      | 1     |
      | many at once     | 50    | 0.5 | s9     | v1      | 1     |
      | never stored     | 50    | 5   | s8     | none    | 2     |

  Scenario Outline: a stream that could not be found at first is resumed later, <case>
    Given a store with the records chat: v1 v2
    When an instance starts that sees targets of v1 v2
    And <case>, and s9 is stored as begun at v1 by another <later> s later
    Then attempts to resume s9 <first> s and <second> s later find <found>

    Examples:
      | case                      | later | first | second | found       |
      | the store is away for 1 s | 0     | 0.05  | 2      | none and v1 |
      | a read takes 0.3 s        | 0     | 0.05  | 0.07   | v1 and v1   |
      | nothing else happens      | 0.2   | 0.01  | 1.5    | none and v1 |

  Scenario: keep-alives alone make no version the one that began a stream
    Given an instance that relays keep-alives alone
    Then the version that began the stream is not known

  Scenario Outline: the version of a stream is known until 30 s after its last event, <case>
    Given an instance that relays a stream of <lasts> s with an event each <interval> s
    Then its version is known while it runs and 29 s after its end, not 31 s after
    And its origin was recorded at most <records> times

    Examples:
      | case             | lasts | interval | records |
      | a short stream   | 2     | 0.1      | 2       |
      | a long one       | 40    | 2        | 10      |
      | many events      | 40    | 0.01     | 10      |
