Feature: Writes do not wait for targets that have fallen silent

  # All links to the targets stop passing data at once, as when a region is
  # isolated. The outcome of a write that was sent just before is unknown; its
  # caller gets this soon and not only at its deadline of 20 s. Writes that
  # wait for the connection have not run and are refused as such.
  Scenario: All targets fall silent under a write
    Given a fleet of 3 VMs that callers write to
    When all links to targets freeze and 6 writes with 20 s left come at once
    Then each is unknown or not run within 12 s, at most one at a VM unknown
    When the links pass again
    Then a write is done, and what was called not run is at no target

  # No connection may be closed in these cases: a target that answers on other
  # connections still runs the statement; a target that has never reported has
  # only just been asked; to a process that was paused all targets look
  # unresponsive at its first check.
  Scenario: Only an answer that cannot come is given up
    Given a write that was sent to a target
    When the target is heard all the time for 10 s
    Then the write still waits
    When the target is silent for 2 s at one look and heard before the next
    Then the write still waits
    When the target is silent for 4 s
    Then the write's connection is closed as a silent one
