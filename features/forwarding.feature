Feature: What an entry says and counts before it asks a holder

  # A caller is told that its group does not exist, with status 400, and gives
  # up for good. Its entry had been killed and started again a moment before
  # and had not yet been told the names of all groups. Until it has, it may
  # only say that it finds no holder, and when to come back.
  Scenario: An entry that does not know all groups yet denies none
    Given an entry that has just started
    When a statement for the group ledger comes
    Then it answers no_holder with a time to come back
    When it has been told the names of all groups
    And a statement for the group ledger comes
    Then it answers unknown_group

  # Under faults callers' statements are retried twice as often as the settings
  # allow: each first try was noted twice in the budget that retries come from.
  Scenario: A statement counts once in the retry budget
    Given an entry that has just started
    And the entry knows the group
    When a statement for the group ledger comes
    Then one first try is noted in the retry budget
