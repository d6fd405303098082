Feature: A failed primary is replaced, and no acknowledged write is lost
  Real VMs, targets and platform behind the fault proxy. Callers write rows of
  their own all the time; every write that was answered "done" must be there
  in the end, at every member.

  Scenario: The primary is killed
    # Callers see their writes wait, or end as unknown if they were under way.
    # Holders in two zones find the port closed and tell the steward; it wins
    # term 2, stops the two other members and promotes the most advanced. The
    # old primary comes back later and is made to follow.
    Given a change fleet under writes
    When the primary is killed for the change
    Then writes are done again at term 2
    When the killed primary is started again
    Then all members hold exactly the writes of the change and term 2

  Scenario: The primary is frozen and wakes with its old role
    # The frozen process answers nothing, so its silence is suspected. When it
    # wakes it still believes that it is primary; what it commits then is held
    # by no majority and is acknowledged to nobody.
    Given a change fleet under writes
    When the primary is frozen for the change
    Then writes are done again at term 2
    When the frozen primary wakes
    Then all members hold exactly the writes of the change and term 2

  Scenario: The primary is cut off and goes on taking writes
    # Nobody reaches the primary through the network, but a client on its side
    # does and gets its commits answered by it. After the change those entries
    # are on no other member; when the network heals they are dropped.
    Given a change fleet under writes
    When the primary is cut off for the change
    And a client beside the old primary commits there
    Then writes are done again at term 2
    When the network of the old primary heals
    Then all members hold exactly the writes of the change and term 2

  Scenario: A VM is cut off together with the old primary
    # vm-1 reaches the old primary only; the other members change to term 2
    # without it. Writes through vm-1 are committed by the old primary, but
    # reach no majority: they end as unknown and are never acknowledged.
    Given a change fleet at rest
    When vm-1 is cut off together with the primary
    And the other side changes its primary to term 2
    Then writes through vm-1 are not acknowledged
    When the network of vm-1 heals
    Then writes through vm-1 are done at term 2
    And the writes that were not acknowledged are at no member

  Scenario: The steward is paused in the change and wakes later
    # The VM that holds the lease is frozen just as the primary dies. Another
    # takes the lease once it has lapsed, and changes the primary. The first
    # one wakes, still in the change it had begun: its lease is over, and what
    # it may send carries a lower term.
    Given a change fleet under writes
    When the primary is killed and the steward frozen with it
    Then writes are done again at a later term
    When the frozen steward wakes
    Then the group keeps one primary and its term for 3 seconds
    And all running members hold exactly the writes of the change

  Scenario: The platform's answer to the new term is lost
    # The update that wins the term takes effect, but its answer never comes.
    # The steward reads the object back, finds its own mark, and goes on at
    # this term; a second term would make the gap longer for nothing.
    Given a change fleet under writes
    When the platform will lose its next answer about groups
    And the primary is killed for the change
    Then writes are done again at term 2
    And all running members hold exactly the writes of the change

  Scenario: The primary fails while the platform is down
    # Without the platform no term can be won, so nobody may promote: writes
    # are refused or end as unknown, reads of stated age go on at replicas.
    # When the platform is back the change is made.
    Given a change fleet under writes
    When the platform is down for the change
    And the primary is killed for the change
    Then for 4 seconds no write is done and stale reads are
    When the platform is back for the change
    Then writes are done again at term 2
    And all running members hold exactly the writes of the change

  Scenario: A second member fails halfway
    # With the primary dead and another member frozen there is no majority, so
    # no term is won and nothing is promoted. The steward goes on as soon as
    # the member wakes.
    Given a change fleet under writes
    When the primary is killed and another member frozen with it
    Then for 2 seconds no write is done but what a majority held before
    When the frozen member wakes
    Then writes are done again at a later term
    And all running members hold exactly the writes of the change

  Scenario: The primary hands over on purpose
    # The primary says that it leaves. Writes pause there, the chosen member
    # catches up and takes over. Writes that came meanwhile waited or were
    # refused as not run; none is unknown.
    Given a change fleet under writes
    When the primary says that it leaves
    Then writes are done again at term 2
    And no write of the change ended as unknown
    When the old primary leaves no more
    Then all members hold exactly the writes of the change and term 2

  Scenario: The primary follows the write weight to the other site
    # The operators of a move set the old site's write weight to 0. Nothing has
    # failed and the old primary takes writes to the last moment: it is paused,
    # the member at the new site catches up, and what waits goes on there.
    Given a change fleet under writes
    When an operator moves the write weight to the other site
    Then writes are done again at term 2
    And the primary is at the other site
    And no write of the change ended as unknown
    And all members hold exactly the writes of the change and term 2

  Scenario: Pauses of VMs and a slow platform move no primary
    # Each VM in turn is stopped for 5 seconds under load, while the platform
    # takes 200 ms for each call and the way to the primary 20 ms. Woken VMs
    # find everybody silent; that must not count as the primary's failure.
    Given a change fleet under writes
    When the platform is slow and the way to the primary is delayed
    And each VM in turn is paused for 5 seconds
    Then the group is still at term 1

  Scenario: The last word of a member comes late after the kill
    # Guards against: a write of before the kill, which a majority holds, is
    # taken for one that was done without a majority when its answer is late.
    Given a change fleet under writes
    When the answers of the member that stays come 900 ms late
    And another member is frozen and 0.2 s later the primary is killed
    Then for 2 seconds no write is done but what a majority held before
    And some of these were told as done half a second after the kill
    When the answers come in time again
    And the frozen member wakes
    Then writes are done again at a later term
    And all running members hold exactly the writes of the change
