@processes
Feature: Streams are taken up at the version that began them, after a restart too
  Two instances relay four streams each, which break off as instances are killed after
  the third event. Callers take them up once the instances are back. What engines of two
  versions of their software write is never joined, and a stream whose version is still
  there goes on.

  Background:
    Given a store, engines e1 with m1 and e2 with m3, services s1, s2, 2 instances

  Scenario Outline: <case>
    Given 8 streams of m1 begun at <begun>, 4 by each instance
    When <then> and <killed> killed and started again<later>
    Then of the streams that are taken up none is joined from two versions
    And those begun at <going on> go on, those begun at <refused> get 503

    Examples:
      | case                                 | begun     | then             | killed        | later              | going on  | refused |
      | one version all the time             | e1        | nothing changes  | all instances |                    | e1        | -       |
      | v1 replaced by v2                    | e1        | e2 replaces e1   | all instances |                    | -         | e1      |
      | v1 replaced by v2, one killed        | e1        | e2 replaces e1   | one instance  |                    | -         | e1      |
      | v1 and v2 side by side               | e1 and e2 | nothing changes  | all instances |                    | e1 and e2 | -       |
      | v1 and v2 side by side, one killed   | e1 and e2 | nothing changes  | one instance  |                    | e1 and e2 | -       |
      | v1 leaves v2 behind                  | e1 and e2 | e1 is removed    | all instances |                    | e2        | e1      |
      | v1 goes down with all, v2 comes      | e1        | nothing changes  | all instances | , e2 replacing e1  | -         | e1      |
