Feature: The client of the platform's object API
  A failed call says whether a write may have taken effect; a watch says when
  it has to be started again.

  Scenario Outline: a call to the platform: <case>
    Given a platform stand-in with the object d1
    When the platform call "<case>" is made
    Then the platform call ends with "<result>" and verdict "<verdict>"
    And the platform then holds "<holds>"

    Examples:
      | case                         | result      | verdict      | holds      |
      | get                          | ok          |              | d1=one     |
      | get of a missing object      | not-found   | not-run      | d1=one     |
      | create                       | ok          |              | d1=one d2=two |
      | create of an existing object | exists      | not-run      | d1=one     |
      | create, answer lost          | unavailable | may-have-run | d1=one d2=two |
      | create, request lost         | unavailable | may-have-run | d1=one     |
      | create, platform down        | unavailable | may-have-run | d1=one     |
      | create, connection refused   | unavailable | not-run      | d1=one     |
      | create, timed out            | unavailable | may-have-run | d1=one     |
      | create, too large            | refused     | not-run      | d1=one     |
      | update                       | ok          |              | d1=two     |
      | update of an old version     | conflict    | not-run      | d1=two     |
      | update, answer lost          | unavailable | may-have-run | d1=two     |
      | update after a lost answer   | conflict    | not-run      | d1=two     |
      | update after a stale read    | conflict    | not-run      | d1=two     |
      | delete                       | ok          |              |            |
      | delete of an old version     | conflict    | not-run      | d1=two     |
      | get, platform down           | unavailable | not-run      | d1=one     |
      | get, stale                   | ok          |              | d1=two     |
      | list, platform down          | unavailable | not-run      | d1=one     |

  Scenario Outline: a watch of the platform: <case>
    Given a platform stand-in with the object d1
    When the platform watch "<case>" is followed
    Then the platform watch gives "<events>"

    Examples:
      | case                        | events                           |
      | changes                     | ADDED:d2 MODIFIED:d1 DELETED:d2  |
      | changes with one label      | ADDED:d2                         |
      | changes before the watch    | MODIFIED:d1                      |
      | nothing happens             | BOOKMARK BOOKMARK                |
      | compacted                   | expired                          |
      | list again after compaction | ADDED:d2                         |
      | broken                      | unavailable                      |
      | silent                      | unavailable                      |
      | platform goes down          | unavailable                      |
      | other kinds change          | BOOKMARK                         |
