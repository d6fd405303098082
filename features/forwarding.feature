Feature: What an entry says and counts before it asks a holder

  # The failure: a caller gets status 400 because its group does not exist, and
  # never retries. Its entry has just been restarted and does not know the
  # names of all groups yet. Until it does, it must answer that it finds no
  # holder, with a delay for the retry.
  Scenario: An entry that does not know all groups yet denies none
    Given an entry that has just started
    When a statement for the group ledger comes
    Then it answers no_holder with a time to come back
    When it has been told the names of all groups
    And a statement for the group ledger comes
    Then it answers unknown_group

  # The failure: statements are retried twice as often as the settings allow,
  # because each first attempt is recorded twice in the retry budget.
  Scenario: A statement counts once in the retry budget
    Given an entry that has just started
    And the entry knows the group
    When a statement for the group ledger comes
    Then one first try is noted in the retry budget

  # The same at the holder, which has its own budget for tries at other
  # targets.
  Scenario: A statement counts once in the holder's retry budget
    Given a holder that has just started
    When a statement for the group ledger comes to it
    Then one first try is noted in the retry budget

  # A holder dies in the fleet's first second. The other one has no share yet
  # and gets it shortly after. The caller's deadline is seconds away: the
  # statement must not be refused, and it runs once.
  Scenario: A statement waits for a holder's share
    Given an entry whose group has a dead holder and one without a share
    When the holder gets its share 250 ms after a write has come
    Then the write is done after 300 ms

  # The holder gets no share, because the VMs that must agree are gone. The
  # caller gets a refusal with a retry delay soon and not only at its deadline.
  Scenario: A statement does not wait for ever for a share
    Given an entry whose group has a dead holder and one without a share
    When a write has come and no share comes for 5 seconds
    Then the write is refused with not_holder or holder_lost after 500 ms

  # Retries must stay few: with an empty budget the entry refuses at once.
  Scenario: Waiting for a share is paid for by the retry budget
    Given an entry whose group has a dead holder and one without a share
    And nothing is left in its retry budget
    When a write has come and no share comes for 5 seconds
    Then the write is refused with not_holder or holder_lost after 0 ms
