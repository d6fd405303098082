Feature: The store comes back from an older copy
  What was written last is gone, and revisions go back and are given out again.

  Scenario: A configuration that follows is in force in time
    # Guards against: the configuration is ignored for its lower revision.
    Given an estate with 3 VMs and 2 groups
    When 10 callers work for 10 s
    And after 5 s the store comes back from a copy of 5 s before
    And after 7 s a database is added
    Then every promise was kept
    And every VM has opened the added database within 2 s
    And no VM has put an older configuration in force
