Feature: Group records reach the VMs that need them

  # The caller sees writes refused with no_primary for seconds after a start.
  # A peer pushed the group's record to a VM before that VM had its first list
  # of VMs, so it could not tell that the record concerned it; the same record
  # again at the same version was not news. As the bucket's leader it never
  # began the election. Once the list is there the record must be in force.
  Scenario: A record that comes before the list of VMs is taken up after it
    Given a VM that has no list of VMs yet
    When a peer sends it the record of a group
    And the list of VMs arrives that makes it a holder of that group
    Then the record is in force on that VM
