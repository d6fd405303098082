Feature: A write with a key runs at most once
  The key is written in the write's own transaction at the target, so it is
  where the write is, whatever dies on the way. Five VMs, three of which hold
  the group.

  Scenario: The answer is lost on its way to the caller
    # The write is done; its answer is stuck between entry and caller. The
    # caller gives up and tries again through another VM, and gets the answer
    # of the first try.
    Given an at-most-once fleet
    When the answer to a write with key k1 is lost on the last way
    Then the same write with key k1 through another VM is a replay
    And 1 row with key k1 is at every target

  Scenario: The answer is lost between target and holder
    # The target has committed; its answers come so late that the holder never
    # hears of it in time and says unknown, since anything else could be wrong.
    # Another try finds the key.
    Given an at-most-once fleet
    When the answer to a write with key k2 is lost before the holder
    Then that keyed write ended as unknown
    And the same write with key k2 through another VM is a replay
    And 1 row with key k2 is at every target

  Scenario: Two tries at the same time through different VMs
    # A caller that is in doubt sends the same write twice at once. The target
    # takes one after the other; the second finds the key and runs nothing.
    Given an at-most-once fleet
    When each of 20 keyed writes is sent at once through 3 VMs
    Then of each keyed write 1 try ran and the others are replays of it
    And every keyed write has 1 row at every target

  Scenario: Entries and holders are killed under load
    # Callers write with keys, trying again through the next VM until they are
    # told "done", while VMs are killed and started again one after another.
    Given an at-most-once fleet
    When 8 callers write 25 keyed rows each while every VM is killed once
    Then all keyed writes were acknowledged
    And every keyed write has 1 row at every target

  Scenario: The primary changes between two tries
    # The first try was acknowledged at term 1. The second one goes to the
    # primary of term 2, whose log has the key because it has the write.
    Given an at-most-once fleet
    When a write with key k3 is done and another member becomes primary
    Then the same write with key k3 through another VM is a replay
    And 1 row with key k3 is at every target

  Scenario: The primary is killed under load
    # Nobody promotes by hand: the VMs find out and change the primary while
    # callers go on. Whatever they were told, each key has its effect once.
    Given an at-most-once fleet
    When 8 callers write 25 keyed rows each while the primary is killed
    Then all keyed writes were acknowledged
    And every keyed write has 1 row at every living target

  Scenario: The primary freezes and a holder dies at the same time
    # Both go at once under load, while replicas take 100 ms to receive a
    # write: some writes under way are at the old primary only, some are at a
    # replica and nobody was told. A new primary is found; callers try again.
    # Later the old one runs again, still thinking itself primary, and rejoins.
    Given an at-most-once fleet
    When 8 callers write 25 keyed rows each while primary and holder fail
    Then all keyed writes were acknowledged
    And every keyed write has 1 row at every target

  Scenario: A key is used again for something else
    # A program error: the same key with other parameters. Answering with the
    # first write's answer would hide that the second one never ran.
    Given an at-most-once fleet
    When a write with key k4 is done
    Then another write with key k4 is refused with key_reused
    And 1 row with key k4 is at every target

  Scenario: Keys of different callers are apart
    Given an at-most-once fleet
    When two callers each write with key k5
    Then both keyed writes ran
