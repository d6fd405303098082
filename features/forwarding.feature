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

  # The same at the holder, whose own budget pays for other targets.
  Scenario: A statement counts once in the holder's retry budget
    Given a holder that has just started
    When a statement for the group ledger comes to it
    Then one first try is noted in the retry budget

  # The holder that served a group dies in the fleet's first second. The other
  # one says that it has no share yet, and has it a moment later. The caller has
  # seconds left: it is not refused, and the statement runs once.
  Scenario: A statement waits for a holder's share
    Given an entry whose group has a dead holder and one without a share
    When the holder gets its share 250 ms after a write has come
    Then the write is done after 300 ms

  # No share comes, because those who must agree are gone. The caller is told so
  # soon, not at its deadline, and when to come back.
  Scenario: A statement does not wait for ever for a share
    Given an entry whose group has a dead holder and one without a share
    When a write has come and no share comes for 5 seconds
    Then the write is refused with not_holder or holder_lost after 500 ms

  # Statements are many and retries must stay few: with nothing left in the
  # budget the entry refuses at once.
  Scenario: Waiting for a share is paid for by the retry budget
    Given an entry whose group has a dead holder and one without a share
    And nothing is left in its retry budget
    When a write has come and no share comes for 5 seconds
    Then the write is refused with not_holder or holder_lost after 0 ms
