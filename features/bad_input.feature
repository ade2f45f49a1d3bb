@processes
Feature: Bad input gets a clear error
  Every error names its file, line and path, or a status, a code and a verdict;
  the process keeps serving.

  Scenario Outline: settings with <case>
    When the settings "<settings>" are checked
    Then the check ends with exit code 2 and "<line>: <says>"

    Examples:
      | case                 | settings                                  | line | says                                                    |
      | unknown key          | colour: red                               | 4    | colour: unknown key                                     |
      | unknown nested key   | limits:;  speed: 3                        | 5    | limits.speed: unknown key                               |
      | wrong type           | name: 7                                   | 3    | name: Input should be a valid string                    |
      | list for a mapping   | listen: []                                | 4    | listen: Input should be                                 |
      | number for a list    | peers: 3                                  | 4    | peers: Input should be a valid                          |
      | bad address          | platform: localhost:80                    | 3    | platform: Value error, an address is written ip:port    |
      | missing port         | statsd: 127.0.0.1                         | 4    | statsd: Value error, an address is written ip:port      |
      | port too large       | statsd: 127.0.0.1:70000                   | 4    | statsd: Value error, an address is written ip:port      |
      | bare IPv6            | statsd: ::1:80                            | 4    | statsd: Value error, an address is written ip:port      |
      | port 0 of another    | platform: 127.0.0.1:0                     | 3    | platform: port 0 cannot be called                       |
      | negative limit       | limits:;  body_bytes: -1                  | 5    | limits.body_bytes: Input should be greater than 0       |
      | zero limit           | limits:;  queue_requests: 0               | 5    | limits.queue_requests: Input should be greater than 0   |
      | infinite limit       | limits:;  drain_s: .inf                   | 5    | limits.drain_s: Input should be                         |
      | true for a number    | limits:;  header_bytes: true              | 5    | limits.header_bytes: Input should be a valid integer    |
      | default over maximum | limits: {default_deadline_s: 9, max_deadline_s: 3} | 4 | limits.default_deadline_s: is later than limits.max_deadline_s |
      | bad name             | name: Big Name                            | 3    | name: String should match pattern                       |
      | repeated key         | data_centre: d2;data_centre: d3           | 4    | data_centre: repeated key                               |
      | address twice        | listen: {callers: "127.0.0.1:8081"}       | 4    | listen.operators: address is used twice, also by listen.callers |
      | peer twice           | peers: ["10.0.0.1:1", "10.0.0.1:1"]       | 4    | peers[1]: duplicate peer 10.0.0.1:1                     |
      | itself as peer       | peers: ["127.0.0.1:8082"]                 | 4    | peers[0]: is the address of listen.peers                |
      | open operators' port | listen: {operators: "10.0.0.1:8081"}      | 4    | listen.operators: a secret is needed to listen beyond loopback |
      | open peers' port     | listen: {peers: "0.0.0.0:8082"}           | 4    | listen.peers: a secret is needed to listen beyond loopback |
      | short secret         | secret: hush                              | 4    | secret: String should match pattern                     |
      | key without certificate | tls: {key: k.pem}                      | 4    | tls.certificate: Field required                         |
      | unknown log level    | log_level: loud                           | 4    | log_level: String should match pattern                  |
      | broken YAML          | peers: [                                  | 4    | not YAML: expected the node content                     |
      | an alias             | peers: &a [];listen: *a                   | 5    | alias *a: aliases are not allowed                       |
      | deep nesting         | peers: DEEP                               | 1    | nested too deeply                                       |

  Scenario: every error in a file is found in one pass
    When the settings "name: 7;colour: red;colour: blue;statsd: nowhere;peers: ["10.0.0.1:1", "10.0.0.1:1"];listen: {peers: "0.0.0.0:1"};limits: {body_bytes: -1}" are checked
    Then the check ends with exit code 2 and these 7 lines
      | line | starts                 |
      | 3    | name:                  |
      | 4    | colour: unknown key    |
      | 5    | colour: repeated key   |
      | 6    | statsd:                |
      | 7    | peers[1]: duplicate    |
      | 8    | listen.peers: a secret |
      | 9    | limits.body_bytes:     |

  Scenario Outline: an inventory with <case>
    When the inventory "<inventory>" is checked
    Then the check ends with exit code 2 and "<line>: <says>"

    Examples:
      | case               | inventory                                             | line | says                                           |
      | unknown key        | engines: []                                           | 1    | engines: unknown key                           |
      | text for a list    | models: assistant                                     | 1    | models: Input should be a valid                |
      | missing field      | models: [{name: a}]                                   | 1    | models[0].memory_mb: Field required            |
      | negative memory    | models:;- name: a;  memory_mb: -5                     | 3    | models[0].memory_mb: Input should be greater   |
      | number as version  | models: [{name: a, memory_mb: 1, version: 1}]         | 1    | models[0].version: Input should be a valid string |
      | duplicate name     | models:;- {name: a, memory_mb: 1};- {name: a, memory_mb: 1} | 3 | models[1].name: duplicate name 'a'             |
      | unknown base model | adapters:;- {name: a, model: b, memory_mb: 1}         | 2    | adapters[0].model: unknown model 'b'           |
      | unknown method     | services: [{name: s, calls: [{method: PUSH, path: /}]}] | 1  | services[0].calls[0].method: String should match |
      | relative path      | services: [{name: s, calls: [{method: GET, path: x}]}] | 1   | services[0].calls[0].path: String should match |
      | bare credential    | customers: [{name: c, credential_sha256: hush}]       | 1    | customers[0].credential_sha256: String should match |
      | unknown rule       | rules: {magic: 1}                                     | 1    | rules.magic: unknown key                       |
      | not a mapping      | - models                                              | 1    | (top): a mapping is needed                     |
      | empty file         |                                                       | 1    | (top): a mapping is needed                     |

  Scenario: an inventory that is not text, not there or too large
    When unreadable inventories are checked
      | case    | says                       |
      | binary  | :1: not YAML:              |
      | missing | :1: cannot be read:        |
      | large   | :1: longer than            |
    Then each unreadable inventory is refused with exit code 2

  Scenario Outline: a command line with <case>
    When the command line "<args>" is run
    Then the command line ends with exit code <code> and one error "<says>"

    Examples:
      | case                  | args                               | code | says                    |
      | no command            |                                    | 2    | arguments are required  |
      | unknown command       | sing                               | 2    | invalid choice          |
      | unknown option        | check --colour red                 | 2    | unrecognized arguments  |
      | missing option        | serve                              | 2    | --settings              |
      | missing file          | serve --settings /nowhere/i.yaml   | 2    | cannot be read          |
      | bad address           | demo --callers nowhere             | 2    | not ip:port             |
      | number as a word      | standin engine --memory-mb many    | 2    | invalid int value       |
      | address of no machine | standin platform --listen 192.0.2.1:1 | 1 | marjoramstage: [Errno   |

  Scenario: bad caller requests
    Given an instance for bad caller requests
    When each bad caller request is sent, a good one after it
    Then each bad caller request gets its status and code, and each good one 200
      | request                  | status | code            |
      | no credential            | 401    | credential      |
      | unknown credential       | 401    | credential      |
      | credential not ASCII     | 401    | credential      |
      | basic credential         | 401    | credential      |
      | credential twice         | 400    | header          |
      | deadline twice           | 400    | header          |
      | class twice              | 400    | header          |
      | key twice                | 400    | header          |
      | deadline 0               | 400    | deadline-header |
      | deadline negative        | 400    | deadline-header |
      | deadline a word          | 400    | deadline-header |
      | deadline a fraction      | 400    | deadline-header |
      | deadline too late        | 400    | deadline-header |
      | deadline of 5000 digits  | 400    | deadline-header |
      | unknown class            | 400    | class-header    |
      | class above the rule     | 403    | class           |
      | empty key                | 400    | key             |
      | key of 256 characters    | 400    | key             |
      | key not ASCII            | 400    | key             |
      | not JSON                 | 400    | body            |
      | empty body               | 400    | body            |
      | JSON list                | 400    | body            |
      | NaN                      | 400    | body            |
      | not UTF-8                | 400    | body            |
      | half a surrogate pair    | 400    | body            |
      | nested 100000 deep       | 400    | body            |
      | no model                 | 400    | body            |
      | model a number           | 400    | body            |
      | no prompt                | 400    | body            |
      | prompt a list            | 400    | body            |
      | message without content  | 400    | body            |
      | max_tokens 0             | 400    | body            |
      | max_tokens huge          | 400    | body            |
      | max_tokens true          | 400    | body            |
      | stream a word            | 400    | body            |
      | unknown model            | 404    | model           |
      | another's model          | 404    | model           |
      | another's adapter        | 404    | model           |
      | unknown version          | 404    | model           |
      | adapter of another model | 404    | model           |
      | another's service        | 404    | service         |
      | unknown service          | 404    | service         |
      | dot segment              | 400    | path            |
      | encoded dot segment      | 400    | path            |
      | encoded slash            | 400    | path            |
      | absolute address         | 400    | path            |
      | another host in the path | 400    | http            |
      | another host, colon      | 400    | http            |
      | star for a path          | 400    | path            |
      | fragment                 | 400    | path            |
      | two slashes              | 404    | path            |
      | unknown path             | 404    | path            |
      | unknown method           | 405    | method          |
      | large body               | 413    | body-size       |
      | large chunked body       | 413    | body-size       |
      | compressed body          | 415    | encoding        |
      | unknown expectation      | 417    | expect          |
      | half a body              | 408    | body-time       |
      | bad chunk size           | 400    | http            |
      | large header             | 431    | header-size     |
      | many headers             | 431    | header-size     |
      | long request line        | 431    | header-size     |
      | no HTTP                  | 400    | http            |
      | header without colon     | 400    | http            |
      | length and chunks        | 400    | http            |
      | two lengths              | 400    | http            |

  Scenario: bad operator requests
    Given an instance for bad caller requests
    When each bad operator request is sent, a good one after it
    Then each bad operator request gets its status and says why, and each good one 200
      | request                       | status | says                            |
      | unknown path                  | 404    | Not Found                       |
      | unknown method                | 405    | Method Not Allowed              |
      | inventory not YAML            | 400    | inventory:1: not YAML           |
      | inventory not UTF-8           | 400    | inventory:1: not YAML           |
      | inventory of one unknown key  | 400    | inventory:1: magic: unknown key |
      | inventory too large           | 413    | Request Entity Too Large        |
      | empty plan                    | 400    | a mapping is needed             |
      | base a word                   | 400    | base: a whole number            |
      | edit id too short             | 400    | edit: 8 to 64                   |
      | rollback to nothing           | 400    | to: a generation is needed      |
      | rollback to a huge number     | 400    | to: a whole number              |
      | no HTTP                       | 400    | not HTTP                        |
      | large header                  | 431    | too long                        |
