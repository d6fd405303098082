Feature: Settings are checked before anything runs

  An operator who mistypes a key or a unit must hear of it at the line and
  column, not learn of it from how the system behaves under load.

  Scenario: A file with comments is read, and what it leaves out has defaults
    Given a settings file
    Then the settings can be used
    And the settings have timing.suspect_ms of 800

  Scenario Outline: A fault is shown with its line and column
    Given a settings file
    And its line <line> is replaced by <text>
    Then loading it fails at line <line>, column <column> with "<message>"

    Examples:
      | line | column | text                                                      | message                                                                      |
      | 8    | 14     | "timing": {"suspect_s": 2},                               | unknown key timing.suspect_s; is suspect_ms meant, a number of milliseconds  |
      | 8    | 14     | "timing": {"suspect_ms": "2 s"},                          | timing.suspect_ms must be a number of milliseconds without a unit, not '2 s' |
      | 8    | 14     | "timing": {"suspect_ms": 0},                              | timing.suspect_ms: input should be greater than or equal to 20               |
      | 8    | 3      | "timing": {"drain_ms": 900},                              | timing: drain_notice_ms (5000) is more than drain_ms (900)                   |
      | 8    | 3      | "lease": {"renew_ms": 2600},                              | lease: renew_ms (2600) and margin_ms (500) together must be less than        |
      | 8    | 32     | "lease": {"renew_ms": 2600}, "lease": {},                 | key 'lease' stands twice                                                     |
      | 8    | 25     | "lease": {"renew_ms": },                                  | unexpected '}'                                                               |
      | 4    | 3      | "callers": {"listen": "0.0.0.0:8001"},                    | callers: 0.0.0.0:8001 is on the network: set tls, or plain_text to true      |
      | 4    | 15     | "callers": {"listen": "localhost:8001"},                  | callers.listen: 'localhost' is not an IP number                              |
      | 5    | 3      | "peers": {"listen": "127.0.0.1:8001"},                    | peers: another listener has 127.0.0.1:8001 already                           |
      | 9    | 31     | "token_keys": [{"id": "k1", "secret": "short"}],          | token_keys.0.secret: string should have at least 16 characters               |
      | 9    | 3      | "token_keys": [],                                         | token_keys: list should have at least 1 item                                 |
      | 8    | 3      | "entry": {"only": true, "of": "vm-2"},                    | entry: only needs of and main, the VM's main process                         |
      | 8    | 3      | "entry": {"only": true, "of": "vm-1", "main": "10.0.0.1:1"}, | entry: of is this process's own vm, vm-1: each process needs a name of its own |

  Scenario: All faults of a file are shown at once
    Given a settings file
    And its line 4 is replaced by "callers": {"listen": "localhost:8001"},
    And its line 8 is replaced by "timing": {"suspect_s": 2},
    Then "bamboospring check" ends with 1 and shows faults in lines 4 and 8

  Scenario: Any number out of its bounds is refused, any number within is taken
    Then each whole number among the settings is held to its bounds

  Scenario: No key is there that nothing reads
    # An operator sets a limit, the process starts, and the limit is not kept.
    Then the program reads every key of the settings

  Scenario: A caller's request is held to the bounds that are set
    # One caller sends a long head, one a long body, one stops within its body.
    # Each is refused by the bound set here, far below the default, and a
    # request just within is served.
    Given a VM that takes heads of 2 KB and bodies of 3 KB within half a second
    Then a request with a head of 1500 and a body of 2500 bytes gets status 200
    And a request with a head of 2500 and a body of 20 bytes gets status 431
    And a request with a head of 200 and a body of 3500 bytes gets status 413
    And a request that stops in its body gets status 408 within 5 seconds

  Scenario: The reference page is what the models say
    Then docs/SETTINGS.md names every key with its default and bounds
