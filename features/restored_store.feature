@processes
Feature: The platform's store comes back from a copy
  What was written since the copy is lost, and revisions are given out again. Each
  answer names the era of the store, which then rises by one.

  Scenario Outline: an answer <case>
    Given a client that knows era 5 of the store
    When a <call> is answered with status <status> and era <era>
    Then the call gives <result>, and the client knows era <known>

    Examples:
      | case                            | call  | status | era         | result      | known |
      | of the same era                 | read  | 200    | 5           | an object   | 5     |
      | that names none                 | read  | 200    | none        | an object   | 5     |
      | with a garbled era              | read  | 200    | 5x          | an object   | 5     |
      | with a negative era             | read  | 200    | -1          | an object   | 5     |
      | with an era far too high        | read  | 200    | 99999       | an object   | 5     |
      | with an era of many digits      | read  | 200    | 99999999999 | an object   | 5     |
      | of an earlier era               | read  | 200    | 4           | unavailable | 5     |
      | of a restored store             | read  | 200    | 6           | an object   | 6     |
      | after two restores              | read  | 200    | 7           | an object   | 7     |
      | that is an error, after one     | read  | 503    | 6           | unavailable | 6     |
      | to a watch, of a restored store | watch | 200    | 6           | expired     | 6     |
      | to a watch, of an earlier era   | watch | 200    | 4           | unavailable | 5     |
      | to a write, of a restored store | write | 200    | 6           | unavailable, may have run | 6 |
      | to a write, of an earlier era   | write | 200    | 4           | unavailable, may have run | 5 |

  Scenario: revisions that are given out again hide no change
    Given a watcher of targets t1 to t4 that has seen the store's newest revision
    When the store is put back to when it had t1 and t2, and t5 to t8 are written
    Then the watcher knows t1, t2 and t5 to t8 after the time for entries to return
    And it still knew t3 and t4 before that time was over

  Scenario Outline: a target that <case>
    Given an instance that knows that target t1 in incarnation 1 leaves
    When the store lists t1 in incarnation <incarnation> as ready
    Then the instance sends it <work>

    Examples:
      | case                                     | incarnation | work    |
      | left before the store was put back       | 1           | nothing |
      | has started again                        | 2           | work    |

  Scenario: an instance whose store comes back from a copy takes the lease anew
    Given a store, engines e1 with m1 and e2 with m3, services s1, s2, 2 instances
    When a stream of m2 is requested, and the store is put back to when it was new
    Then one instance takes the lease under a higher fencing number within 10 s
    And requests are served, also for a model that has to be loaded
    And both instances logged that the store was restored
