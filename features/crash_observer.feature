Feature: Which requests a crash of their target speaks against

  Scenario Outline: <answer>, the target <target>
    Given a request with the parts <parts> at a target
    When its answer <answer>, and the target <target>
    Then that speaks <verdict>

    Examples:
      | parts | answer                                | target                | verdict |
      | a b c | breaks off before it began            | is down               | against a b |
      | a b c | breaks off 0.5 s after it began       | is down               | against a b |
      | a b c | breaks off 1.5 s after it began       | is down               | for a b |
      | a     | breaks off before it began            | is down               | neither for nor against any |
      | a b c | breaks off before it began            | is up                 | neither for nor against any |
      | a b c | breaks off before it began            | leaves                | neither for nor against any |
      | a b c | breaks off before it began            | leaves a moment later | neither for nor against any |
      | a b c | breaks off before it began            | is gone               | neither for nor against any |
      | a b c | breaks off before it began            | has started again     | neither for nor against any |
      | a b c | is whole, with a length               | is up                 | for a b |
      | a b c | is whole, ended by its connection     | is up                 | for a b |
      | a b c | is whole, ended by its connection     | broke another off, is down | against a b |
      | a b c | is whole, ended by its connection     | broke another off, is up | for a b |
      | a b c | is whole, ended by its connection     | is down               | against a b |
      | a b c | is whole, ended by its connection     | crashes 0.1 s later   | for a b |
      | a b c | is whole, ended by its connection     | leaves                | neither for nor against any |
      | a b c | is a failure, with a length           | is up                 | neither for nor against any |
      | a b c | goes on 1.5 s after it began          | is up                 | for a b |
      | a b c | goes on 0.5 s after it began          | is up                 | neither for nor against any |

  Scenario: requests that notice the same crash late
    Given a request with the parts a b c at a target
    When its answer breaks off before it began, and the target is down
    And another answer of that target breaks off 1 s later
    Then both are reported for one crash at the time of the first
