Feature: Fault injection in the stand-ins
  Each fault is set and observed from outside, over HTTP.

  Scenario Outline: engine stand-in: <case>
    Given an engine stand-in with faults <faults>
    When the engine stand-in is asked for "<case>"
    Then the engine stand-in shows "<seen>"

    Examples:
      | case              | faults                                    | seen                               |
      | a stream          | {}                                        | 0 1 2 3 done, ran 1                |
      | a stream          | {"break_streams": 1}                      | 0 1 broken, ran 1                  |
      | a stream          | {"skip_chunks": 1}                        | 1 2 3 done, ran 1                  |
      | a stream          | {"repeat_chunks": 1}                      | 0 0 1 2 3 done, ran 1              |
      | a stream          | {"refuse": 1}                             | 503 not-run, ran 0                 |
      | a resumed stream  | {"break_streams": 1}                      | 0 1 broken 2 3 done, ran 1         |
      | a resumed stream  | {"break_streams": 1, "refuse_resumes": 1} | 0 1 broken 404 None, ran 1         |
      | a cancelled stream | {"stall_streams": 1, "token_s": 0.01}    | 0 1 broken, ran 1, cancelled 1     |
      | an uncancelled stream | {"stall_streams": 1, "ignore_cancels": true} | 0 1 broken, ran 1          |
      | a whole answer    | {}                                        | 200, ran 1                         |
      | a whole answer    | {"lose_answers": 1}                       | lost, ran 1                        |
      | an unknown model  | {}                                        | 404 not-run, ran 0                 |
      | an order          | {}                                        | 200, holds b@1                     |
      | an order          | {"lose_orders": 1}                        | lost, holds                        |
      | an order          | {"lose_order_answers": 1}                 | lost, holds b@1                    |
      | an order          | {"delay_orders": 1, "delay_s": 0.01}      | lost, holds b@1 late               |
      | an unload         | {"repeat_orders": 1, "delay_s": 0.01}     | 200 200, lost again                |
      | an old fence      | {}                                        | 409, holds                         |
      | an old fence, ignored | {}                                    | 200, holds b@1                     |
      | an expired order  | {}                                        | 409, holds                         |
      | an expired order, carried out | {}                            | 200, holds b@1                     |
      | another incarnation | {}                                      | 409, holds                         |
      | three reports     | {}                                        | 1 2 3                              |
      | three reports     | {"stale_reports": 2}                      | 1 1 1                              |
      | three reports     | {"report_lag": 1}                         | 1 1 2                              |
      | three reports     | {"lose_reports": 1}                       | lost 1 2                           |
      | unknown faults    | {}                                        | 400                                |

  Scenario Outline: service stand-in: a booking with faults <faults>
    Given a service stand-in with faults <faults>
    When the service stand-in is asked for a booking
    Then the service stand-in shows "<seen>"

    Examples:
      | faults               | seen               |
      | {}                   | 201, ran 1         |
      | {"lose_answers": 1}  | lost, ran 1        |
      | {"lose_requests": 1} | lost, ran 0        |
      | {"refuse": 1}        | 503 not-run, ran 0 |
      | {"fail": 1}          | 500, ran 1         |
      | {"delay_s": 0.01}    | 201, ran 1         |

  Scenario Outline: weight store stand-in with <loads> concurrent loads
    Given a weight store stand-in of <rate> loads a second, <at_once> at full speed
    When <loads> loads of 1 s begin together at the weight store
    Then the last load from the weight store ends after <end> s

    Examples:
      | rate | at_once | loads | end |
      | 2    | 4       | 1     | 1.0 |
      | 2    | 4       | 4     | 2.5 |
      | 2    | 1       | 2     | 2.5 |
      | 0    | 4       | 4     | 1.0 |
      | 0    | 4       | 8     | 2.0 |
