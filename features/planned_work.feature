Feature: Operators work while faults come

  # Operators shift weights from site to site, so that primaries move, and
  # restart VMs one by one, while callers work and faults come one upon another.
  # What the operators were told is what the platform's history has, no VM goes
  # back to an older table, in the end all have the newest in force; and the
  # callers' answers are held against what the groups have, as in every soak.
  Scenario: Edits and restarts beside faults, with seed 2
    When callers, operators and faults work for 40 s with seed 2
    Then the soak finds nothing wrong
    And the soak acknowledged at least 500 writes
    And at least 10 edits were accepted
