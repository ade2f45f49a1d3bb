@alone
Feature: Floods of clients leave an instance within the limits of its machine
  An instance is a process of its own; its settings state the memory and the
  descriptors of its machine, its configuration the largest body (4,194,304 bytes).
  A crowd of clients sends as fast as it can, or stops before its end, and stays
  connected while an ordinary request is made. Resident memory is checked alone, and
  together with the bytes that the kernel received for the instance.

  Scenario Outline: <flood>, <count> connections, <memory> MB, <fds> descriptors
    Given an instance on a machine with <memory> MB and <fds> descriptors
    When <count> clients flood it with <flood> and stay connected
    Then an ordinary request is answered while they are connected
    And the process lives and stayed below <memory> MB and <fds> descriptors
    And an ordinary request is answered after they are gone

    Examples: bodies of legal size
      | flood                        | count | memory | fds  |
      | bodies without the last byte | 80    | 160    | 400  |
      | bodies in pieces             | 120   | 120    | 400  |
      | whole bodies                 | 120   | 112    | 400  |
      | large chunks                 | 80    | 160    | 400  |
      | chunks of one byte           | 80    | 72     | 400  |
      | chunks of four bytes         | 80    | 100    | 400  |

    Examples: bodies far over the limit
      | flood                        | count | memory | fds  |
      | 50 times the limit announced | 80    | 160    | 400  |
      | 20 times the limit in chunks | 80    | 160    | 400  |

    Examples: answers of 24 MB that are hardly read
      | flood                        | count | memory | fds  |
      | slow readers                 | 120   | 96     | 400  |

    Examples: both
      | flood                        | count | memory | fds  |
      | slow readers and bodies      | 120   | 160    | 400  |

    Examples: as above, where descriptors do not bound the crowd
      | flood                        | count | memory | fds  |
      | bodies in pieces             | 120   | 120    | 1638 |
      | whole bodies                 | 120   | 112    | 1638 |
      | slow readers                 | 120   | 96     | 1638 |
      | slow readers and bodies      | 120   | 160    | 1638 |

    # Guards against what a request takes beside its body, and what its connection keeps.
    Examples: as above, small or finished requests
      | flood                                             | count | memory | fds  |
      | long heads and small bodies without the last byte | 1000  | 160    | 1638 |
      | long heads that are answered                      | 1300  | 128    | 1638 |

  # Guards against what a connection keeps of its last request.
  Scenario: answers that were read are not kept for their connections
    Given an instance on a machine with 128 MB and 1638 descriptors
    When 1300 clients, 20 at a time, get small answers and stay connected
    Then an ordinary request is answered while they are connected
    And the process lives and stayed below 128 MB and 1638 descriptors

  Scenario: more connections than the machine has descriptors
    Given an instance on a machine with 160 MB and 300 descriptors
    When 400 clients flood it with nothing and stay connected
    Then an ordinary request is answered while they are connected
    And the process lives and stayed below 160 MB and 300 descriptors
    And an ordinary request is answered after they are gone

  # Guards against bodies that stop short and keep all other callers out.
  Scenario: more bodies that stop short than the machine has descriptors
    Given an instance on a machine with 160 MB and 500 descriptors
    When 600 clients flood it with small bodies without the last byte and stay connected
    Then 20 ordinary requests are answered within 5 s while they are connected
    And the process lives and stayed below 160 MB and 500 descriptors
    And an ordinary request is answered after they are gone

  Scenario: a client that reads slowly does not make a target cut its answer
    Given an instance on a machine with 160 MB and 400 descriptors
    When a client asks for 24 MB and begins to read after the target would have cut
    Then it gets all of the answer

  Scenario Outline: a single request is served in calm: <flood>
    Given an instance on a machine with 160 MB and 400 descriptors
    When a client sends <flood> of the largest size
    Then it gets status 200 and its body back

    Examples:
      | flood                |
      | whole bodies         |
      | bodies in pieces     |
      | large chunks         |
      | chunks of four bytes |
