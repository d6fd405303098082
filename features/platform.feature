Feature: Work goes on while the platform is down or slow
  The platform decides who leads and what is in force. Decisions that were made
  need no further calls to it.

  Scenario: The platform refuses every call for 15 s
    # Callers read, write and run transactions through all VMs. The platform
    # fails; leases expire and the table cannot be edited, but targets, terms
    # and weights are known, so no request fails.
    Given a fleet of 5 VMs under load for the platform
    When the platform refuses every call for 15 s
    Then no request of the platform load was cut

  Scenario: The platform takes calls and never answers for 15 s
    # Calls hang until their timeouts. Each purpose has one call in flight, so
    # calls do not accumulate, and no statement waits for them.
    Given a fleet of 5 VMs under load for the platform
    When the platform answers no call for 15 s
    Then no request of the platform load was cut

  Scenario: The platform is slow for long
    # Each call takes 1.5 seconds. Edits are slow, but they are accepted.
    Given a fleet of 5 VMs under load for the platform
    When the platform takes 1500 ms for each call
    Then an edit is accepted and in force on all VMs within 20 s
    And no request of the platform load was cut

  Scenario: Recovery is no stampede
    # In the outage nine VMs retry with increasing delays, each at random
    # times. When the platform is back they do not all call at once. Most calls
    # are for the leases of 16 buckets with 3 candidates each, whose number
    # does not grow with the fleet.
    Given a fleet of 9 VMs for the platform
    When the platform refuses every call for 20 s
    Then in the outage all VMs together made at most 60 calls a second
    And in the 10 s after it no second saw more than 90 calls
    And an edit is accepted and in force on all VMs within 20 s

  Scenario: A VM starts during an outage
    # A VM is replaced while the platform is down. Its settings name peers; it
    # gets the list of VMs, the table and its groups' records from them, in the
    # versions that are in force there, and serves.
    Given a fleet of 5 VMs for the platform
    When an edit is in force everywhere and the platform goes down for good
    And a VM is killed and started with the addresses of its peers
    Then the VM has the edit in force and serves within 15 s

  # A VM that starts accepts callers a moment before its operators' listener is
  # open. A test that asked it then ended with an error.
  Scenario: A test waits for an operators' listener that opens late
    Given an operators' listener that opens after 300 ms
    Then waiting for its answer succeeds within 10 s

  Scenario: Calls back off and never overlap
    Then in 200 generated runs waits grow, stay within their limit and differ

  # A VM that treated an omitted list as an empty one would refuse every
  # request. The list is omitted first by the platform, because it is
  # unchanged, then by a lagging copy of the platform, and then by mistake
  # although it is newer; finally the full list arrives.
  Scenario: A list of VMs that is left out empties nothing
    Given a VM that watches the platform, with the list of VMs at revision 7
    When the platform answers revision 7 and leaves the list out
    Then the platform was asked for a list after 7
    And the VM has its 3 VMs, and the platform counts as read
    When the platform answers revision 6 and leaves the list out
    Then the VM has its 3 VMs, and the platform does not count as read
    When the platform answers revision 9 and leaves the list out
    Then the VM has its 3 VMs, and the platform does not count as read
    When the platform answers revision 9 with a list of 2 VMs
    Then the platform was asked for a list after 0
    And the VM has its 2 VMs, and the platform counts as read

  # The traffic of a fleet depends on this: a list that the asker has is not
  # sent. A newer list is sent, also to an asker that has missed several
  # changes.
  Scenario: The platform stand-in leaves out only a list that the asker has
    Given a platform stand-in with its list of VMs at revision 3
    Then an asker that has revision 3 is told the revision only
    And an asker that has revision 1 gets the list
    And an asker that has none gets the list
