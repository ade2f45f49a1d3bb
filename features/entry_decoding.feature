Feature: Entries of the store never hold up the event loop for long
  An entry of another writer may be anything, up to the size that the store allows. It is
  decoded on the event loop, on which all requests wait meanwhile.

  # Guards against decoding that takes longer than in proportion to the document.
  Scenario Outline: <document> decoded by the <decoder>
    When a document of 100000 bytes made of <document> is decoded by the <decoder>
    Then that takes less than 0.5 s of processor time

    Examples:
      | document                         | decoder       |
      | escaped quotes                   | JSON reader   |
      | an object encoded twice          | JSON reader   |
      | escapes up to a backslash        | JSON reader   |
      | quotes                           | JSON reader   |
      | opening brackets                 | JSON reader   |
      | closing brackets                 | JSON reader   |
      | pairs of brackets beside depth   | JSON reader   |
      | opening objects                  | JSON reader   |
      | escaped quotes after depth       | JSON reader   |
      | digits                           | JSON reader   |
      | numbers of 4301 digits           | JSON reader   |
      | halves of surrogate pairs        | JSON reader   |
      | escaped quotes                   | target        |
      | escaped quotes after depth       | target        |
      | escaped quotes                   | configuration |
      | escaped quotes after depth       | configuration |
      | escaped quotes                   | sealer        |
      | escaped quotes after depth       | sealer        |
      | escaped quotes                   | report        |
      | escaped quotes after depth       | report        |

  # Guards against an entry that takes long and leaves no trace in the log.
  Scenario Outline: an entry of kind <kind> that takes <ms> ms to <step>
    When an entry of kind <kind> takes <ms> ms to <step>
    Then the log has <lines> lines of slow entries

    Examples:
      | kind    | step  | ms  | lines |
      | servers | apply | 150 | 1     |
      | servers | apply | 50  | 0     |
      | config  | apply | 150 | 1     |
      | config  | seal  | 150 | 1     |
      | config  | seal  | 50  | 0     |

  # Guards against texts that are taken for brackets, or are changed, beside a value that
  # is left out.
  Scenario: texts beside an array that is nested too deeply
    Then texts of any kind beside an array of 4000 levels are read as they are

  # Guards against log lines that name no event, which readers of the log rely on.
  Scenario: an answer of the store that takes long to decode
    When an answer of the store takes 150 ms to decode
    Then the log has one line of the event slow answer
