Feature: One steward at a time leads a group, and another takes over
  Leases are objects at the platform. These scenarios use real VMs; the orders
  of lost and late calls are explored in exploration.feature.

  Scenario: The steward dies and another takes its lease
    # The lease is no longer renewed. The next candidate takes it over once its
    # version has not changed for the whole duration, and not earlier.
    Given a lease fleet
    When the lease's holder is killed
    Then another VM takes the lease, not before it expired

  Scenario: A paused steward finds its lease taken
    # The holder is frozen for longer than its lease. When it resumes, its own
    # clock shows that the lease has expired, and it reads that another VM has
    # it. With two holders, both would change the version.
    Given a lease fleet
    When the lease's holder is frozen
    Then another VM takes the lease, not before it expired
    When the frozen lease holder resumes
    Then the lease stays with the VM that took it

  Scenario: An outage shorter than the lease moves no leadership
    # Renewals fail for a second. The holder continues until the safety margin
    # and renews when the platform is back; no other VM takes the lease.
    Given a lease fleet
    When the platform is down for 1 second under the lease
    Then the lease is renewed by the same VM

  Scenario: A longer outage stops all stewards and none takes over in it
    # No lease can be renewed or taken without the platform. When it is back,
    # one VM gets the lease by a conditional update.
    Given a lease fleet
    When the platform is down for 5 seconds under the lease
    Then exactly one VM renews the lease afterwards

  Scenario: A VM that is told to leave gives its leases up
    # On SIGTERM the VM releases its leases before it exits, so that no other
    # VM must wait until they expire.
    Given a lease fleet
    When the lease's holder is told to leave
    Then another VM takes the lease within 2.8 seconds

  Scenario: The platform sees a fixed number of calls for leases
    # 16 leases are renewed once a second, and two standby candidates of each
    # read it once a second. The number is the same with 3 VMs and with 480.
    Given a lease fleet
    Then in 5 seconds the leases cost at most 25 writes and 50 reads a second
