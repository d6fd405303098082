Feature: Who belongs to the fleet, and leaving it
  Real VM processes behind links; the platform's list of VMs lags by a second.

  Scenario: A target that operators let go gets no new work
    # An operator names a replica in the row's leaving targets while callers
    # read, write and run transactions. Every VM stops sending it work within
    # seconds, and no caller notices.
    Given a fleet of 5 VMs under load for membership
    When an operator names a replica as leaving
    Then after 5 s the replica gets no more statements
    And no request of the membership load was cut

  Scenario: A VM that leaves drains under load
    # The platform says that a VM leaves, and it gets SIGTERM, while callers work
    # through all VMs and it holds transactions. It says that it is not ready,
    # refuses new work as a holder, lets what it has end, and then ends itself.
    # A balancer takes callers off it when it is not ready any more.
    Given a fleet of 5 VMs under load for membership
    When a holder of the group leaves and gets SIGTERM
    Then the leaving VM ends by itself with exit code 0
    And no request of the membership load was cut

  Scenario: A VM drains while the list still has it as live
    # Only the VM itself knows, by SIGTERM. Entries hear it from the VM and from
    # its refusals, which say that nothing ran, and go to other holders.
    Given a fleet of 5 VMs under load for membership
    When a holder of the group gets SIGTERM and the list says nothing
    Then the leaving VM ends by itself with exit code 0
    And no request of the membership load was cut

  Scenario: A long transaction ends before its holder does
    # A transaction is pinned to a connection of the VM that gets SIGTERM. It
    # can't move. It goes on through another entry until long after the notice
    # period, and commits; only then does its holder end.
    Given a fleet of 5 VMs for membership
    When a transaction begins at a holder that then gets SIGTERM
    Then 4 s later a statement and the commit of the transaction are done
    And the leaving VM ends by itself with exit code 0

  Scenario: All VMs are replaced one after the other
    # A roll-out: each VM gets SIGTERM, ends and is started again, while callers
    # work. Shares, leases and transactions move; nothing is cut.
    Given a fleet of 4 VMs under load for membership
    When each VM is drained and started again
    Then no request of the membership load was cut

  Scenario: A VM that died is avoided while the list still has it as live
    # A holder is killed; the list says live for good. What was in flight there
    # may be unknown to its callers. After that entries try it last.
    Given a fleet of 5 VMs for membership
    When a holder of the group is killed
    Then after 3 s 60 requests through the other VMs are all done

  Scenario: Holders follow the list
    # A holder stands in the list as leaving. The rest of the fleet chooses its
    # successor alone and alike, and the successor serves.
    Given a fleet of 5 VMs for membership
    When a holder of the group stands in the list as leaving
    Then within 10 s its successor serves as a holder

  Scenario: A VM learns the names of all groups
    # A VM that has just started knows some groups. Until a watcher has told it
    # all names it chooses holders as if each group were alone; others do not
    # agree with it on some groups, and no share grows. Then it places all of
    # them, a few at a time so that callers don't wait, and tells its parts.
    Given a VM of 24 that knows 30 of 90 groups
    Then it chooses the holders of each group alone
    When a watcher that does not know all tells it 60 names
    And its timers have run
    Then it chooses the holders of each group alone
    When a watcher tells it the names of all groups
    Then it chooses the holders of each group alone
    When its timers have run
    Then it chooses the same holders as a VM that knew all from the start
    And its parts are told once that holders have changed

  Scenario: Placement keeps its properties
    Then in 200 generated fleets holders are spread over zones and regions
    And in 200 generated fleets one VM's change moves only its own groups' places
    And in 200 generated histories even holders are spread as plain ones and the same at all VMs
    And in 300 generated changes each VM that holds or held a group is among those asked
    And at 480 VMs and 530 groups the fullest VM holds at most 5 groups
    And in 50 generated fleets each VM is reached through neighbours without a tenth of them

  Scenario: A draining process ends neither too early nor too late
    Then in 300 generated shutdowns nothing under way is cut before the limit
