Feature: Settings are checked before anything runs

  A wrong key or unit must be reported with its line and column when the file
  is loaded, instead of showing up as unexpected behaviour under load.

  Scenario: A file with comments is read, and what it leaves out has defaults
    Given a settings file
    Then the settings are valid
    And the settings have timing.suspect_ms of 800

  Scenario Outline: A fault is shown with its line and column
    Given a settings file
    And line <line> of the settings is replaced by <text>
    Then loading them fails at line <line>, column <column> with "<message>"

    Examples:
      | line | column | text                                                      | message                                                                      |
      | 8    | 14     | "timing": {"suspect_s": 2},                               | unknown key timing.suspect_s; did you mean suspect_ms, a number of milliseconds |
      | 8    | 14     | "timing": {"suspect_ms": "2 s"},                          | timing.suspect_ms must be a number of milliseconds without a unit, not '2 s' |
      | 8    | 14     | "timing": {"suspect_ms": 0},                              | timing.suspect_ms: input should be greater than or equal to 20               |
      | 8    | 3      | "timing": {"drain_ms": 900},                              | timing: drain_notice_ms (5000) is more than drain_ms (900)                   |
      | 8    | 3      | "lease": {"renew_ms": 2600},                              | lease: renew_ms (2600) and margin_ms (500) together must be less than        |
      | 8    | 32     | "lease": {"renew_ms": 2600}, "lease": {},                 | duplicate key 'lease'                                                        |
      | 8    | 25     | "lease": {"renew_ms": },                                  | unexpected '}'                                                               |
      | 4    | 3      | "callers": {"listen": "0.0.0.0:8001"},                    | callers: 0.0.0.0:8001 is on the network: set tls, or plain_text to true      |
      | 4    | 15     | "callers": {"listen": "localhost:8001"},                  | callers.listen: 'localhost' is not an IP address                             |
      | 5    | 3      | "peers": {"listen": "127.0.0.1:8001"},                    | peers: another listener already uses 127.0.0.1:8001                          |
      | 9    | 31     | "token_keys": [{"id": "k1", "secret": "short"}],          | token_keys.0.secret: string should have at least 16 characters               |
      | 9    | 3      | "token_keys": [],                                         | token_keys: list should have at least 1 item                                 |
      | 8    | 3      | "entry": {"only": true, "of": "vm-2"},                    | entry: only requires of and main, the VM's main process                      |
      | 8    | 3      | "entry": {"only": true, "of": "vm-1", "main": "10.0.0.1:1"}, | entry: of is the vm of this process, vm-1: each process needs a unique name |

  Scenario: All faults of a file are shown at once
    Given a settings file
    And line 4 of the settings is replaced by "callers": {"listen": "localhost:8001"},
    And line 8 of the settings is replaced by "timing": {"suspect_s": 2},
    Then "bamboospring check" exits with 1 and reports errors in lines 4 and 8

  Scenario: Any number out of its bounds is refused, any number within is taken
    Then each whole number among the settings is held to its bounds

  Scenario: No key is there that nothing reads
    # A key that no code reads is accepted, and the limit set by the operator
    # has no effect.
    Then the program reads every key of the settings

  Scenario: A caller's request is held to the bounds that are set
    # One request has a long head, one a long body, and one stops within its
    # body. Each exceeds the limit set here, which is far below the default,
    # and is rejected; a request within the limits is served.
    Given a VM that accepts heads of 2 KB and bodies of 3 KB within half a second
    Then a request with a head of 1500 and a body of 2500 bytes gets status 200
    And a request with a head of 2500 and a body of 20 bytes gets status 431
    And a request with a head of 200 and a body of 3500 bytes gets status 413
    And a request that stops in its body gets status 408 within 5 seconds

  Scenario: The reference page is what the models say
    Then docs/SETTINGS.md names every key with its default and bounds
