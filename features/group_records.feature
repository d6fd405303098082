Feature: Group records reach the VMs that need them

  # A peer sends the group's record to a VM that has no list of VMs yet and so
  # doesn't know that it is a holder of the group. The same version is not sent
  # again. If the VM dropped the record, it would not start a change of primary
  # as the bucket's leader, and writes would fail with no_primary for seconds
  # after a start.
  Scenario: A record that comes before the list of VMs is taken up after it
    Given a VM that has no list of VMs yet
    When a peer sends it the record of a group
    And the list of VMs arrives that makes it a holder of that group
    Then the record is in force on that VM
