Feature: Nothing is lost between the pages of a list and the watch
  An instance that missed a target that leaves would send it requests until it ends.

  Scenario Outline: while a list of 1200 targets is read, <change>
    Given a store with 1200 targets, in pages of 500
    When a watcher lists them, and before page <page> <change>
    Then it knows what the store has within 6 s, and the revisions of all

    Examples:
      | page | change                                            |
      | 2    | targets of page 1 report that they leave          |
      | 3    | targets of pages 1 and 2 are removed              |
      | 2    | targets of page 3 are removed                     |
      | 3    | targets join on page 1                            |
      | 2    | targets of page 3 change                          |
      | 2    | targets of page 1 are removed and join again      |
      | 2    | targets of page 3 are removed and join again      |
      | 2    | the store is put back to a copy of 1100 targets   |
      | 3    | the store is put back to a copy of 1100 targets   |

  Scenario Outline: random changes at each page and watch, seed <seed>
    Given 4 instances of which one tells the others, and a store in pages of 7
    When targets join, change and leave for 40 s, and lists begin anew, seed <seed>
    Then each instance knows what the store has within 6 s

    Examples:
      | seed |
      | 1    |
      | 3    |
      | 12   |
      | 19   |
      | 28   |

  Scenario Outline: an entry with <odd> costs that entry alone
    Given a store with 12 targets, in pages of 5
    When the entry of t0004 is written with <odd> and a watcher lists the targets
    Then it knows the other 11 targets
    When the same has happened to t0007, and t0009 has left
    Then it knows the other 9 targets

    Examples:
      | odd                                       |
      | bytes in its address that are not UTF-8   |
      | bytes in its name that are not UTF-8      |
      | half a surrogate pair in its service      |
      | half a surrogate pair in its name         |
      | control characters in its address         |
      | a number for its name                     |
      | no name                                   |
      | no revision                               |
      | a revision that is a text of 5000 digits  |
      | null instead of the entry                 |
      | a value that this program fails to handle |

  Scenario: a page without any name that can be read does not end the list
    Given a store with 12 targets, in pages of 5
    When all names of page 2 are not UTF-8 and the targets are listed
    Then the list is unavailable

  Scenario: what a list has shown early is told again at its revision
    Given a watcher that tells others, and a list of revision 10 with t1 of revision 12
    When its watch from there repeats t1, and that t2 was removed
    Then it tells others both, as changes after revision 10
