Feature: Real VMs serve sessions while things fail

  Scenario: A calm minute, with all kinds of routes
    Given an estate with 3 VMs and 2 groups
    When 10 callers work for 4 s
    Then every promise was kept
    And at least 99 percent of the operations were served

  Scenario: A primary crashes and comes back too late
    # Callers get errors for about as long as it takes to detect the crash,
    # to have the VMs release the old primary, and to promote a new one (0.6
    # s here). Writes continue at the new primary well before the old one is
    # back, which then is a replica.
    Given an estate with 3 VMs and 2 groups
    When 10 callers work for 9 s
    And after 2 s the primary of group0 crashes for 6 s
    Then every promise was kept
    And group0 had another primary within 3 s
    And writes were served in group0 at the end

  Scenario: A primary goes dark while it holds callers' statements
    # The connections stay open without any response. Statements sent over
    # them are given up as soon as the change is announced, not at each
    # statement's deadline.
    Given an estate with 3 VMs and 2 groups
    When 10 callers work for 9 s
    And after 2 s the primary of group0 stops responding for 6 s
    Then every promise was kept
    And group0 had another primary within 4 s

  Scenario: The store is down and primaries go on being used
    # No record can be read for 6 s, three times the lifetime of a proof.
    # VMs ask the other targets of each group instead, so callers notice
    # nothing.
    Given an estate with 3 VMs and 2 groups
    When 10 callers work for 9 s
    And after 1 s the store is down for 6 s
    Then every promise was kept
    And at least 95 percent of the operations were served

  Scenario: A VM that is told to stop cuts nobody
    # Open sessions are closed between two statements, and transactions get
    # half of the grace time to end. Closing a connection while a statement
    # is in transit would leave its outcome unknown.
    Given an estate with 3 VMs and 2 groups
    When 10 callers work for 8 s
    And after 2 s vm1 is terminated
    Then every promise was kept
    And vm1 has exited by itself
    And no statement was interrupted by the shutdown

  Scenario: All VMs are killed at once and come back
    Given an estate with 3 VMs and 2 groups
    When 10 callers work for 8 s
    And after 2 s all VMs are killed and started again
    Then every promise was kept
    And writes were served in group0 at the end

  Scenario: Many VMs pass their reads on to few, and some of these die
    # Twelve VMs share 10 connections of each target, so reads go through
    # one VM of each zone. Four VMs are killed, relays and holders among
    # them. Reads in transit get no answer and are sent another way; callers
    # of the killed VMs reconnect to others and find their writes.
    Given an estate with 12 VMs and 2 groups of 10 connections
    When 24 callers work for 12 s
    And after 7 s vm0, vm4, vm8 and vm11 are killed
    Then every promise was kept
    And reads were forwarded before and after the kill
    And at least 90 percent of the operations were served

  Scenario: The ports of what is down are kept for it
    # Several test fleets run at once. While a VM or a member is down,
    # another fleet picks a free port. If it were theirs, the restart or the
    # start of the other fleet would fail.
    Given an estate with 1 VMs and 1 groups
    When its VM and a member are stopped
    Then no other process can listen on their ports

  Scenario: A leaving primary is replaced before its time is up
    Given an estate with 3 VMs and 2 groups
    When 10 callers work for 9 s
    And after 1 s the primary of group0 leaves
    Then every promise was kept
    And group0 had another primary within 4 s
    And at least 90 percent of the operations were served

  Scenario: The VM that leads is paused while a primary fails
    # Two VMs may believe that they are the leader. The one that is resumed
    # no longer has a valid lease, according to a clock that continues
    # during the pause, and orders nothing.
    Given an estate with 3 VMs and 2 groups
    When 10 callers work for 12 s
    And after 2 s the leader is paused for 5 s and the primary of group0 crashes for 9 s
    Then every promise was kept
    And group0 had another primary within 8 s

  Scenario: Settings that change without a signal, and metrics
    Given an estate with 3 VMs and 2 groups
    When 10 callers work for 3 s
    And the settings of vm0 ask for debug logs
    Then vm0 has logged that it applied its settings within 5 s
    And the metrics of vm0 count statements, waits and proofs

  Scenario: A request's story from its id
    # A caller reports a problem with one request; only the logs of the VMs
    # are left.
    Given an estate with 3 VMs and 2 groups
    When 10 callers work for 5 s
    And after 1 s the primary of group0 crashes for 3 s
    Then the trace of a refused write names the change of its primary
    And the trace of a change names its steps in order
