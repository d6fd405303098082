Feature: One steward at a time leads a group, and another takes over
  Leases are objects at the platform. These scenarios use real VMs; the order
  of lost and late calls is explored in exploration.feature.

  Scenario: The steward dies and another takes its lease
    # Nobody renews the lease any more. The next candidate has seen its version
    # stand still for the whole duration and takes it over, not earlier.
    Given a lease fleet
    When the lease's holder is killed
    Then another VM takes the lease, not before it lapsed

  Scenario: A paused steward finds its lease taken
    # The holder is frozen for longer than its lease. It wakes believing that
    # it leads, sees by its own clock that the lease has lapsed, and reads that
    # another has it. Two holders would show as versions moved by both.
    Given a lease fleet
    When the lease's holder is frozen
    Then another VM takes the lease, not before it lapsed
    When the frozen lease holder wakes
    Then the lease stays with the VM that took it

  Scenario: An outage shorter than the lease moves no leadership
    # Renewals fail for a second. The holder goes on until its margin, renews
    # when the platform is back, and nobody else takes the lease.
    Given a lease fleet
    When the platform is down for 1 second under the lease
    Then the lease is renewed by the same VM

  Scenario: A longer outage stops all stewards and none takes over in it
    # Nobody can renew or take a lease without the platform. When it is back
    # one VM gets the lease again, by a conditional update like any other.
    Given a lease fleet
    When the platform is down for 5 seconds under the lease
    Then exactly one VM renews the lease afterwards

  Scenario: A VM that is told to leave gives its leases up
    # SIGTERM: the VM gives up what it leads before it exits, so that nobody
    # has to wait until its leases lapse.
    Given a lease fleet
    When the lease's holder is told to leave
    Then another VM takes the lease within 2.8 seconds

  Scenario: The platform sees a fixed number of calls for leases
    # 16 leases are renewed once a second, and two standby candidates of each
    # read it once a second: the same with 3 VMs as with 480.
    Given a lease fleet
    Then in 5 seconds the leases cost at most 25 writes and 50 reads a second
