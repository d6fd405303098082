Feature: The command line tells its whole story

  Scenario: Help names every command
    When the command "--help" is run
    Then it exits with 0
    And its output contains serve, demo, table, status, primary, record, report, check, load and version

  Scenario: Every command explains itself
    Then the help of each command exits with 0

  Scenario Outline: What cannot be done is said with its own exit code
    When the command "<command>" is run
    Then it exits with <code>
    And it prints the error "<complaint>"

    Examples:
      | command                                                          | code | complaint              |
      | serve --settings missing.json                                    | 2    | cannot be read         |
      | check                                                            | 2    | name a settings file   |
      | check missing.json                                               | 1    | cannot be read         |
      | unheard-of                                                       | 2    | No such command        |
      | status --vm 127.0.0.1:1 --token none                             | 3    | no VM answers          |
      | record missing/series.jsonl --vm 127.0.0.1:1 --token none        | 2    | cannot be written      |
      | report missing.jsonl                                             | 2    | cannot be read         |

  Scenario: A listener whose address is taken is named, without a traceback
    Given settings whose operators' address is in use
    When the command "serve" is run with these settings
    Then it exits with 2
    And it prints the error "cannot listen"

  Scenario: Keys that cannot be read are named, without a traceback
    Given settings whose certificate is missing
    When the command "serve" is run with these settings
    Then it exits with 2
    And it prints the error "cannot be used for TLS"

  Scenario: Completion for a shell can be had
    When the command "--show-completion" is run from bash
    Then it exits with 0
    And its output contains _BAMBOOSPRING_COMPLETE

  Scenario: The version is printed for people and for programs
    When the command "version --json" is run
    Then it exits with 0
    And its output contains version and python
