Feature: Operators edit and restart during faults

  # Operators shift weights between sites, which moves primaries, and restart
  # VMs one after another, during a soak with callers and faults. The verdicts
  # that operators got match the platform's history, no VM returns to an older
  # table, and in the end all VMs have the newest table in force. The callers'
  # answers are compared with the data of the groups, as in every soak.
  Scenario: Edits and restarts beside faults, with seed 2
    When callers, operators and faults run for 40 s with seed 2
    Then the soak finds no violations
    And the soak acknowledged at least 500 writes
    And at least 10 edits were accepted
