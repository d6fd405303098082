Feature: A write with a key runs at most once
  The target stores the key in the write's own transaction, so every target
  that has the write has the key, whichever process fails. Five VMs, three of
  which hold the group.

  Scenario: The answer is lost on its way to the caller
    # The write is done, but its answer is held back between entry and caller.
    # The caller times out, retries through another VM and gets the answer of
    # the first try.
    Given an at-most-once fleet
    When the answer to a write with key k1 is lost on the last way
    Then the same write with key k1 through another VM is a replay
    And 1 row with key k1 is at every target

  Scenario: The answer is lost between target and holder
    # The target has committed, but its answer arrives after the deadline. The
    # holder reports an unknown outcome, and a retry finds the key.
    Given an at-most-once fleet
    When the answer to a write with key k2 is lost before the holder
    Then that keyed write ended as unknown
    And the same write with key k2 through another VM is a replay
    And 1 row with key k2 is at every target

  Scenario: Two tries at the same time through different VMs
    # A caller sends the same write several times at once. The target runs one
    # after the other; the later ones find the key and run nothing.
    Given an at-most-once fleet
    When each of 20 keyed writes is sent at once through 3 VMs
    Then of each keyed write 1 try ran and the others are replays of it
    And every keyed write has 1 row at every target

  Scenario: Entries and holders are killed under load
    # Callers write with keys and retry through the next VM until the outcome
    # is "done", while VMs are killed and restarted one after another.
    Given an at-most-once fleet
    When 8 callers write 25 keyed rows each while every VM is killed once
    Then all keyed writes were acknowledged
    And every keyed write has 1 row at every target

  Scenario: The primary changes between two tries
    # The first try is acknowledged at term 1. The second one goes to the
    # primary of term 2, whose log has the key because it has the write.
    Given an at-most-once fleet
    When a write with key k3 is done and another member becomes primary
    Then the same write with key k3 through another VM is a replay
    And 1 row with key k3 is at every target

  Scenario: The primary is killed under load
    # The VMs detect the failure and change the primary under load. Whatever
    # outcomes the callers got, each keyed write takes effect once.
    Given an at-most-once fleet
    When 8 callers write 25 keyed rows each while the primary is killed
    Then all keyed writes were acknowledged
    And every keyed write has 1 row at every living target

  Scenario: The primary freezes and a holder dies at the same time
    # Both fail at the same time under load, while replicas take 100 ms to
    # receive a write. Some writes in flight are only at the old primary,
    # others are at a replica but not acknowledged. A new primary is chosen and
    # callers retry. Later the old primary resumes in its old role and rejoins.
    Given an at-most-once fleet
    When 8 callers write 25 keyed rows each while primary and holder fail
    Then all keyed writes were acknowledged
    And every keyed write has 1 row at every target

  Scenario: A key is used again for something else
    # A programming error reuses a key with other parameters. Returning the
    # first write's answer would hide that the second write never ran.
    Given an at-most-once fleet
    When a write with key k4 is done
    Then another write with key k4 is refused with key_reused
    And 1 row with key k4 is at every target

  Scenario: Keys of different callers are apart
    Given an at-most-once fleet
    When two callers each write with key k5
    Then both keyed writes ran
