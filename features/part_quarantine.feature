Feature: Which parts of prompts are quarantined
  A part is held back if request after request that has it ends in a crash of its
  target and none goes well.

  Scenario Outline: <case>
    When at targets there is <events>
    Then at <at> s requests with <held> are held back, and none with <sent>

    # "1 t1 pc": target t1 crashes at 1 s under a request with the parts p and c, sent
    # 0.1 s before. "2 ok p": an answer on p that was begun at 2 s goes well.
    Examples:
      | case                            | events                                         | at  | held  | sent     |
      | nothing                         | 1 t1 pc                                        | 9   | -     | p c pc   |
      | two crashes                     | 1 t1 pc, 2 t2 pc                               | 9   | -     | p c pc   |
      | three crashes, two parts        | 1 t1 pc, 2 t2 pc, 3 t3 pc                      | 9   | pc    | p c pd   |
      | before the reports are in       | 1 t1 pc, 2 t2 pc, 3 t3 pc                      | 3.5 | -     | pc       |
      | different second parts          | 1 t1 pc, 2 t2 pd, 3 t3 pe                      | 9   | p pc  | c d      |
      | the fatal part anywhere         | 1 t1 pc, 2 t2 cq, 3 t3 rsc                     | 9   | c xcy | p q rs   |
      | one of several goes well        | 1 t1 pc, 2 t2 pc, 2.5 ok p, 3 t3 pc            | 9   | c qc  | p pd     |
      | a part that is known beside it   | 0.5 ok p, 1 t1 pc, 2 t2 pc, 3 t3 pc            | 9   | c qc  | p pd     |
      | many crashes side by side       | 1 t1 c, 1.02 t2 c, 1.04 t3 c, 2 t4 c, 2.02 t5 c | 9  | c     | p        |
      | it goes well in between         | 1 t1 p, 2 t2 p, 2.5 ok p, 3 t3 p, 4 t4 p       | 9   | -     | p        |
      | it went well before, four       | 0.5 ok p, 1 t1 p, 2 t2 p, 3 t3 p, 4 t4 p       | 9   | -     | p        |
      | it went well before, five       | 0.5 ok p, 1 t1 p, 2 t2 p, 3 t3 p, 4 t4 p, 5 t5 p | 9 | p     | q        |
      | among others, three of five     | 1 t1 p, 2 t2 x, 3 t3 p, 4 t4 y, 5 t5 p         | 9   | -     | p x y    |
      | among others, four of six       | 1 t1 p, 2 t2 x, 3 t3 p, 4 t4 y, 5 t5 p, 6 t6 p | 9   | p     | x y      |
      | it goes well later              | 1 t1 p, 2 t2 p, 3 t3 p, 4 ok p                 | 9   | -     | p        |
      | an old answer goes well         | 1 t1 p, 2 t2 p, 3 t3 p, 1.5 ok p               | 9   | -     | p        |
      | all at the same moment          | 1 t1 p, 1.02 t2 p, 1.04 t3 p, 1.06 t4 p        | 9   | -     | p        |
      | one target crashes once         | 1 t1 p, 1.3 t1 p, 1.6 t1 p                     | 9   | -     | p        |
      | one target crashes three times  | 1 t1 p, 4 t1.2 p, 7 t1.3 p                     | 9   | p     | q        |
      | one request, tried three times  | 1 t1 p=x, 2 t2 p=x, 3 t3 p=x                   | 9   | -     | p        |
      | bystanders with another part    | 1 t1 pc+pd, 2 t2 pc+pd, 3 t3 pc+qe             | 9   | pc    | p pd q   |
      | a widespread part               | 1 t1 pc+pd+pe, 2 t2 qc+pf+pg, 3 t3 pc+ph, 4 t4 pk+pl | 9 | c  | p pd pk  |
      | one more with just one of two   | 1 t1 pc, 2 t2 pc, 3 t3 pc, 5 t4 qc             | 9   | pc    | p qc     |
      | two more with just one of two   | 1 t1 pc, 2 t2 pc, 3 t3 pc, 5 t4 qc, 6 t5 rc    | 9   | c pc  | p q r    |
      | a part that all others share    | 1 t1 pc, 2 t2 pc, 3 t3 pc, 5 ok p              | 9   | c qc  | p pd     |
      | long ago                        | 1 t1 p, 2 t2 p, 200 t3 p                       | 205 | -     | p        |
      | at the end of the quarantine    | 1 t1 p, 2 t2 p, 3 t3 p                         | 602 | p     | -        |
      | after it                        | 1 t1 p, 2 t2 p, 3 t3 p                         | 604 | -     | p        |
      | after it, with one more crash   | 1 t1 p, 2 t2 p, 3 t3 p, 610 t4 p               | 650 | p     | q        |

  Scenario Outline: <load>, seeds 1 to <seeds>
    Given a load of <load>
    When it is played with seeds 1 to <seeds>
    Then after the fifth crash and 3 s at most 3 fatal requests are sent
    And at most 1 in 100 sound requests is held back

    Examples:
      | load                                    | seeds |
      | one fatal request a second              | 20    |
      | five fatal requests a second            | 20    |
      | fatal requests, the part first          | 20    |
      | fatal requests and crashes by chance    | 20    |
      | crashes by chance alone                 | 20    |
      | crashes of half of the targets          | 20    |
      | few requests, five fatal ones a second  | 20    |
      | fatal requests from the start           | 20    |

  Scenario Outline: healthy requests are not refused for long, <load>, seeds 1 to <seeds>
    Given streams of <load>
    When the streams are played with seeds 1 to <seeds>
    Then after the fifth crash and 3 s at most 3 fatal requests are sent
    And from 6 s after the fifth crash at least half of those with the same first part begin
    And no healthy request with the other first part is refused

    Examples:
      | load                                                     | seeds |
      | fatal requests, ended by their connection                | 20    |
      | fatal requests, 3 in 10 ended between two events         | 20    |
      | fatal requests, all ended between two events             | 20    |
      | fatal requests, with a length                            | 20    |
      | crashes by chance, 3 in 10 ended between two events      | 20    |
      | crashes by chance, 3 in 10 ended between two events      | 130   |

  Scenario: what another instance found
    Given an instance that saw p go well at 5 s after a crash
    Then it takes over a quarantine of q, last crash at 4 s, which holds back q
    And it refuses a quarantine of p, last crash at 4 s
    And it takes over a quarantine of p and q, last crash at 4 s, which holds back q
    And it takes over a quarantine of p, last crash at 6 s, which holds back p
