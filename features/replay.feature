Feature: Replays of traces
  Traces are validated when they are read; replays are deterministic.

  Scenario Outline: errors of the trace reader name the line and the field
    Given the small trace
    When line <line> of the trace gets <field> as <value>
    Then reading the trace fails at line <line> with "<message>"

    Examples: header
      | line | field                       | value              | message                         |
      | 1    | kind                        | "head"             | kind: must be header            |
      | 1    | store.loads_per_s           | -1                 | store.loads_per_s               |
      | 1    | store.at_full_speed         | "two"              | store.at_full_speed             |
      | 1    | targets.0.kind              | "gpu"              | targets.0.kind                  |
      | 1    | targets.0.slots             | 0                  | targets.0.slots                 |
      | 1    | targets.0.data_centre       | "nowhere"          | targets.0.data_centre: unknown  |
      | 1    | instances.0.data_centre     | "nowhere"          | instances.0.data_centre         |
      | 1    | instances                   | []                 | instances                       |
      | 1    | models.1.name               | "m1"               | models.1.name: repeated name    |
      | 1    | models.0.decode_tokens_per_s | 0                 | models.0.decode_tokens_per_s    |
      | 1    | adapters.0.model            | "m9"               | adapters.0.model: unknown model |
      | 1    | adapter_load_ms             | [10, 5]            | adapter_load_ms                 |
      | 1    | customers                   | null               | customers                       |

    Examples: requests and faults
      | line | field         | value         | message                           |
      | 2    | at_ms         | "soon"        | at_ms                             |
      | 2    | at_ms         | 999999        | at_ms: earlier than the line before |
      | 2    | kind          | "question"    | kind: must be header              |
      | 2    | data_centre   | "nowhere"     | data_centre: unknown              |
      | 2    | customer      | "stranger"    | customer: unknown                 |
      | 2    | model         | "m9"          | model: unknown model              |
      | 2    | adapter       | "a2"          | adapter: 'a2' is no adapter       |
      | 2    | prompt_tokens | -1            | prompt_tokens                     |
      | 2    | deadline_ms   | 0             | deadline_ms                       |
      | 2    | class         | "whenever"    | class                             |
      | 2    | repeatable    | 1             | repeatable                        |
      | 2    | id            | "r2"          | id: repeated id                   |
      | 5    | fault         | "earthquake"  | fault                             |
      | 5    | what          | "e9"          | what: unknown name                |
      | 5    | for_ms        | 0             | for_ms                            |

  Scenario Outline: a trace that cannot be read at all
    Given a trace file with the text <text>
    Then reading the trace fails at line 1 with "<message>"

    Examples:
      | text           | message       |
      | (nothing)      | is empty      |
      | not json       | not JSON      |
      | []             | kind          |
      | {"kind": 3}    | kind          |

  Scenario: unknown fields are ignored with a warning
    Given the small trace
    When line 2 of the trace gets colour as "red"
    Then the trace is read with the warning "2: colour: unknown field, ignored"

  Scenario: model names that an inventory does not allow can be replayed
    Given the small trace with every model named in capitals and underscores
    When the trace is replayed with policy current and seed 1
    Then the replay has met at least 1 request

  Scenario Outline: two replays by a policy print the same, with the documented fields
    Given a trace of scenario <scenario> of 1 minute
    When the replay command runs twice with policy <policy> and seed 7
    Then both outputs are identical and have exactly the documented fields
    And offered is the sum of met, late, refused and lost
    And met is within the limit

    Examples:
      | policy       | scenario                |
      | current      | tran-gia-faults         |
      | first        | campanas-andinas-faults |
      | round-robin  | tran-gia-burst          |
      | least-loaded | campanas-andinas-flood  |
      | lru          | tran-gia-faults         |
      | static       | campanas-andinas-usual  |

  Scenario: an unknown policy is rejected
    Given the small trace
    Then replaying the trace with policy magic fails with "unknown policy 'magic'"

  Scenario Outline: the limit depends only on slots, speeds and deadlines
    Given a trace of one engine with <slots> slots and <requests> requests at once of <work> s due in <due> s
    Then the limit of the trace is <met> met requests

    Examples:
      | slots | requests | work | due | met |
      | 1     | 1        | 1    | 2   | 1   |
      | 1     | 1        | 3    | 2   | 0   |
      | 1     | 10       | 1    | 5   | 5   |
      | 2     | 10       | 1    | 5   | 10  |
      | 4     | 100      | 0.5  | 5   | 40  |

  Scenario Outline: fairness compares what each customer got with its fair share
    Then offered <offered> and met <met> tokens give a fairness of <ratio>

    Examples:
      | offered     | met        | ratio |
      | 100,100,100 | 50,50,50   | 1.0   |
      | 100,100,100 | 60,50,50   | 1.2   |
      | 800,100,100 | 100,100,100 | 1.0  |
      | 800,100,100 | 200,50,50  | 4.0   |
      | 800,100,100 | 300,100,100 | 1.0  |
      | 100,100     | 100,0      | inf   |
