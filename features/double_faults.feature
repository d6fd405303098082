Feature: A second fault in the midst of a primary change
  Real processes behind the fault proxy and callers that write continuously.
  The second fault is triggered by a state that the test waits for, never by a
  time.

  Scenario: The steward is killed once it has won the term
    # The group has a term without a primary, and the steward that won it is
    # dead. Writes wait or are refused. Another VM takes the lease after it has
    # expired, finds no primary in the object and wins a later term; the term
    # of the dead steward is never used.
    Given a change fleet under writes
    When the platform's answers to the steward are late
    And the primary is killed for the change
    And the steward is killed once a term without a primary is stored
    And the platform's answers are late no more
    Then writes are done again at a later term
    And all running members hold exactly the writes of the change
    And no term has had two primaries

  Scenario: The new primary dies as soon as it is promoted
    # The old primary and its successor are both dead before the change is
    # complete, so one of three targets is left: no change can complete, and
    # nothing is acknowledged. Once one of them is back there is a majority
    # again, which holds every acknowledged write.
    Given a change fleet under writes
    When the primary is killed for the change
    And the new primary is killed as soon as it is promoted
    Then the group has no primary that takes writes
    When the killed primary is started again
    Then writes are done again at a later term
    And all running members hold exactly the writes of the change
    And no term has had two primaries

  Scenario: The primary dies in an outage and the steward with it
    # No term can be won and no lease taken while the platform is down. When it
    # is back, the lease has expired, and another VM takes it and changes the
    # primary.
    Given a change fleet under writes
    When the platform goes down, then the primary and the steward die
    Then no write is done while the platform is down
    When the platform is back for the change
    Then writes are done again at a later term
    And all running members hold exactly the writes of the change
    And no term has had two primaries

  Scenario: An operator edits the table while the primary changes
    # The change waits for the platform's late answers. The edit updates
    # another object of the same platform: it is accepted and in force
    # everywhere, and the change completes as if there had been no edit.
    Given a change fleet under writes
    When the platform's answers to the steward are late
    And the primary is killed for the change
    And an operator edits the table once a term without a primary is stored
    And the platform's answers are late no more
    Then writes are done again at a later term
    And the edit made in the change is in force everywhere
    And all running members hold exactly the writes of the change
    And no term has had two primaries

  Scenario: A target is removed from the group while the primary changes
    # The operator removes the dead primary from the group's targets after a
    # term was won for three. Majorities of the three and of the remaining two
    # always overlap. The change ends nevertheless, because its steps counted
    # the old targets, and another one is made with the new targets.
    Given a change fleet under writes
    When the platform's answers to the steward are late
    And the primary is killed for the change
    And the dead primary is removed once a term without a primary is stored
    And the platform's answers are late no more
    Then writes are done again at a later term
    And all running members hold exactly the writes of the change
    And no term has had two primaries

  Scenario: An edit that leaves one target of three takes the writes away
    # All targets except the primary are removed at once. The primary alone is
    # a majority, and writes that only it holds could be lost after the edit is
    # undone. Until then, writes are refused as not run and no term is won.
    Given a change fleet under writes
    When the primary reports that it leaves
    Then writes are done again at term 2
    When only the primary is left of the group's targets
    Then each VM refuses writes as not run
    And no write is done and no term is won for 2 seconds
    When the old primary leaves no more
    And the group has all its targets again
    Then writes are done again at a later term
    And all running members hold exactly the writes of the change

  Scenario: The group has moved on and no VM can be told
    # The platform is down and most targets follow a primary of term 2. VMs
    # learn the term by polling the targets, but no record names the primary. A
    # write to the old primary would be committed there and lost: it is not
    # sent, and its outcome is not run.
    Given a change fleet at rest
    When the platform is down for the change
    And most targets follow a primary that the platform does not know
    Then each VM refuses writes as not run
    And the old primary takes none of them
