Feature: Writes do not wait for targets that have fallen silent

  # All links to the targets go silent at once, as when a region is cut off.
  # A write that was sent a moment before can't be told from one that has run:
  # its caller is told so soon, not at its deadline of 20 s. Those that wait
  # for its connection have not run, and are refused as such.
  Scenario: All targets fall silent under a write
    Given a fleet of 3 VMs that callers write to
    When all links to targets freeze and 6 writes with 20 s left come at once
    Then each is unknown or not run within 12 s, at most one at a VM unknown
    When the links pass again
    Then a write is done, and what was called not run is at no target

  # A target that answers elsewhere is at work on the statement; one that was
  # never heard has only just been asked; a process that was stopped finds all
  # silent at its first look. Nothing is given up for these.
  Scenario: Only an answer that cannot come is given up
    Given a write that was sent to a target
    When the target is heard all the time for 10 s
    Then the write still waits
    When the target is silent for 2 s at one look and heard before the next
    Then the write still waits
    When the target is silent for 4 s
    Then the write's connection is closed as a silent one
