Feature: Prompts are held back so that a target's streams do not pause too long
  An engine reads prompts between the tokens of its running streams.

  Scenario Outline: <case>
    Given prompts of <sent> tokens are sent to a target
    When <later> s have passed
    Then a prompt of <tokens> tokens <may> be sent beside streams of pause <pause>

    Examples:
      | case                               | sent      | later | tokens  | may     | pause |
      | no backlog                         | 0         | 0     | 7000    | may     | 0.25  |
      | a short backlog                    | 800       | 0     | 800     | may     | 0.25  |
      | a long prompt and a short one      | 4000      | 0     | 1500    | may not | 0.25  |
      | the same, longer pauses wanted     | 4000      | 0     | 1500    | may     | 0.5   |
      | the same, no limit on pauses       | 4000      | 0     | 1500    | may     | 0     |
      | the long prompt has been read      | 4000      | 0.2   | 1500    | may     | 0.25  |
      | many short prompts at once         | 900,900,900,900 | 0 | 1500  | may not | 0.25  |
      | some of them have been read        | 900,900,900,900 | 0.1 | 1500 | may not | 0.25  |
      | an overstated prompt size          | 999999999 | 0.6   | 800     | may     | 0.25  |

  Scenario: prompts that one instance sends count for the others
    Given prompts of 4000 tokens are sent to a target
    When they are announced to another instance
    Then that instance sends no prompt of 3000 tokens there either
    And nothing is announced twice

  Scenario Outline: <lost> of <known> other instances are silent
    Given <known> instances were heard from and <lost> fell silent
    Then contact is <state>

    Examples:
      | known | lost | state |
      | 6     | 0    | kept  |
      | 6     | 3    | kept  |
      | 6     | 4    | lost  |
      | 6     | 6    | lost  |
      | 0     | 0    | kept  |

  # Guards against an instance that is cut off for long and takes itself for connected.
  Scenario Outline: <lost> of <known> other instances are silent for <silent> s
    Given <known> instances were heard from and <lost> fell silent for <silent> s
    When contact was checked each second meanwhile, then <then>
    Then contact is <state>

    Examples: nobody is forgotten while most are silent
      | known | lost | silent | then                             | state |
      | 6     | 6    | 5      | nothing                          | lost  |
      | 6     | 6    | 12     | nothing                          | lost  |
      | 6     | 6    | 22     | nothing                          | lost  |
      | 6     | 6    | 60     | nothing                          | lost  |
      | 6     | 6    | 600    | nothing                          | lost  |
      | 2     | 2    | 22     | nothing                          | lost  |
      | 6     | 4    | 22     | nothing                          | lost  |
      | 6     | 4    | 600    | nothing                          | lost  |

    Examples: those that left are forgotten while most others are heard from
      | known | lost | silent | then                             | state |
      | 6     | 2    | 22     | nothing                          | kept  |
      | 6     | 2    | 22     | 2 of the rest are lost           | kept  |
      | 6     | 2    | 5      | 2 of the rest are lost           | lost  |
      | 6     | 2    | 22     | 3 of the rest are lost           | lost  |

    Examples: a lease that is renewed shows that they left
      | known | lost | silent | then                             | state |
      | 6     | 4    | 22     | the lease is renewed             | kept  |
      | 6     | 4    | 5      | the lease is renewed             | lost  |
      | 6     | 6    | 22     | 3 others are heard from          | lost  |
      | 6     | 6    | 22     | 6 others are heard from          | kept  |
