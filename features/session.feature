Feature: A session has its own writes, wherever it goes
  Real processes: targets, VMs and platform behind the fault proxy. Replicas
  show what they receive 400 ms late, so a read that is not guarded is stale.

  Scenario: Own writes are seen through every VM
    # A caller writes through one VM and immediately reads through another,
    # while every replica lags. The token in the write's answer tells the
    # second VM which position a replica must have, so the read goes to the
    # primary.
    Given a session fleet whose replicas lag 400 ms
    When a session writes 10 times, reading through another VM after each
    Then every session read shows the newest write
    And reads of a session without writes go to replicas

  Scenario: Own writes are seen after the primary has changed
    # A session writes at term 1. Then another member becomes primary of
    # term 2, and the index alone no longer shows what the session has seen.
    # The position counts for at most the start of term 2.
    Given a session fleet whose replicas lag 0 ms
    When a session writes 5 times
    And the second member becomes primary and the platform is told
    Then the session reads 5 rows through every VM
    And a session write through every VM is done at term 2

  Scenario: A token that is ahead of the group is refused
    # The token is correctly signed but its position is beyond the group's
    # log, as after a restore of an old backup. If it were ignored, the
    # caller would see a state without its writes; it gets a refusal with
    # this reason instead.
    Given a session fleet whose replicas lag 0 ms
    Then reads with a token of term 9 are refused as token_ahead
    And reads with a token of index 999999 are refused as token_ahead

  Scenario: Reads keep to the age that they state
    # Replicas lag by 5 s. A read that accepts an age of a minute may be
    # served there; one that accepts 300 ms must not be.
    Given a session fleet whose replicas lag 5000 ms
    When another session writes a row and 1 second passes
    Then a session read that accepts an age of 60000 ms is served at a replica
    And a session read that accepts an age of 300 ms shows the row
    And a session read that accepts an age of 0 ms shows the row

  Scenario: A primary that lost its group acknowledges and confirms nothing
    # The platform is down and two members follow a new primary of term 2,
    # which no VM can know. The old primary still commits what it is sent.
    # Its answers must not count as acknowledged, nor its data as fresh.
    # When the platform is back, the VMs use the new primary, and the
    # unacknowledged row is gone.
    Given a session fleet whose replicas lag 0 ms
    When the platform is down and the second member becomes primary unseen
    Then a session write through every VM ends as unknown
    And a session read that accepts an age of 0 ms is refused as stale
    When the platform is back and knows the new primary
    Then a session write through every VM is done at term 2
    And no member has the rows that ended as unknown

  Scenario: Tokens and routing keep their properties
    Given the session properties are checked with generated cases
    Then a token read back is the session that was signed
    And a changed token or one of another key is no session
    And a key can be rotated while tokens are in use
    And merged sessions have seen what either has seen
    And no read is sent to a target that is not known to satisfy it
    And some target is chosen whenever one satisfies the read
    And a position of an older term never asks for more than the next start
