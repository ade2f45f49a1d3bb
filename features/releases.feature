Feature: An edit of the inventory is accepted at most once and its outcome reported

  Scenario Outline: the outcome of an edit, <fault>
    Given an accepted inventory of three models
    When an operator submits an edit of a model while <fault>
    Then the edit ends as <outcome>
    And the edit is <times> times in the history, and no generation is missing

    Examples:
      | fault                                                  | outcome      | times |
      | nothing fails                                          | accepted     | 1     |
      | the answer of the head is lost                         | accepted     | 1     |
      | the answer of the head is lost three times             | accepted     | 1     |
      | the head is not written and its answer is lost         | accepted     | 1     |
      | the head is written late and its answer is lost        | accepted     | 1     |
      | the answers of documents are lost                      | accepted     | 1     |
      | another edit follows the lost answer                   | accepted     | 1     |
      | another edit takes the place of a lost write           | accepted     | 1     |
      | a lagging replica shows the head before                | accepted     | 1     |
      | the answer is lost and a lagging replica answers       | accepted     | 1     |
      | the platform is down                                   | not-accepted | 0     |
      | the platform goes down after the answer is lost        | unknown      | 1     |
      | the platform goes down after a lost write without effect | unknown    | 0     |

  Scenario Outline: <operators> operators race on <entries>, answers lost: <lost>
    When <operators> operators edit <entries> of one base at once, answers lost: <lost>
    Then of the racing edits <accepted> are accepted and the others are conflicts
    And each racing conflict names an operator whose edit was accepted
    And each accepted racing edit is in the last generation

    Examples:
      | operators | entries           | lost | accepted |
      | 2         | the same entry    | no   | 1        |
      | 2         | different entries | no   | 2        |
      | 5         | the same entry    | no   | 1        |
      | 5         | different entries | no   | 5        |
      | 2         | the same entry    | yes  | 1        |
      | 2         | different entries | yes  | 2        |
      | 5         | the same entry    | yes  | 1        |
      | 5         | different entries | yes  | 5        |

  Scenario Outline: an edit of an older base, <case>
    Given an accepted inventory of three models
    And operator ana then changed model m1
    When operator ben submits <case> from generation 1
    Then the edit ends as <outcome>
    And the edit's answer names <named>

    Examples:
      | case                               | outcome  | named             |
      | a change of m2                     | accepted | generation 3      |
      | another change of m1               | conflict | models/m1 by ana  |
      | the same change of m1              | accepted | generation 3      |
      | the removal of m1                  | conflict | models/m1 by ana  |
      | an adapter on m3                   | accepted | generation 3      |
      | a change that cannot be served     | refused  | does not fit      |

  Scenario: two edits that are valid alone and invalid together
    Given an accepted inventory of three models
    And operator ana then removed model m3
    When operator ben submits an adapter on m3 from generation 1
    Then the edit ends as conflict
    And the edit's answer names unknown model 'm3'

  Scenario: a roll-back is a new generation with the old content
    Given an accepted inventory of three models
    And operator ana then changed model m1
    When an operator rolls back to generation 1
    Then the edit ends as accepted
    And the edit's answer names generation 3
    And the last generation has the content of generation 1

  Scenario: a roll-back to a generation that does not exist is refused
    Given an accepted inventory of three models
    When an operator rolls back to generation 7
    Then the edit ends as refused

  Scenario: the history shows who made an edit, when and why
    Given an accepted inventory of three models
    And operator ana then changed model m1
    Then the history lists ana's reason and the changed entry first

  Scenario Outline: an inventory file that fails validation, <fault>
    When an inventory file has <fault>
    Then the inventory check names line <line> and says <text>

    Examples:
      | fault                              | line | text                        |
      | an adapter of an unknown model     | 4    | unknown model               |
      | an adapter larger than its model   | 4    | not smaller than its model  |
      | a duplicate model                  | 3    | duplicate name              |
      | a paid adapter without its model   | 6    | cannot be reached           |
      | a paid name that is unknown        | 6    | unknown model, adapter      |
      | a name paid for twice              | 6    | listed twice                |
      | two customers of one credential    | 7    | the credential of           |
      | a class rule of an unknown customer | 7   | unknown customer            |
      | an unknown class                   | 7    | pattern                     |
      | a service call declared twice      | 4    | duplicate call              |
      | a negative deadline                | 4    | greater than 0              |
      | a load rate that cannot be reached | 4    | below loads_per_s           |
      | an unknown key                     | 4    | unknown key                 |
