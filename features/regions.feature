Feature: Regions lose each other for a while
  Two regions of three VMs each behind the fault proxy, which distinguishes the
  regions by the source address of a connection. The platform and two of the
  group's three targets are in the near region.

  Scenario Outline: <lost> between the regions is lost, the primary is <place>
    # Callers in the near region continue to write, after a change of primary
    # if it is in the far region: a majority of the targets is near. Callers in
    # the far region are refused at once as not run, since no write there could
    # reach a majority; reads of a stated age continue. Delayed messages arrive
    # after the links have healed, among them orders and acknowledgements of an
    # older term. An old primary that knows of its successor and cannot reach
    # it may hold entries that no other target has: it is not read.
    Given two regions under writes, the primary is <place>
    When <lost> between the regions is lost
    Then the near region goes on writing
    And the far region refuses writes at once for want of a majority
    And the far region <reads>
    When an operator edits the table in the near region
    And the regions reach each other again
    Then writes are done in both regions at one term
    And the edit is in force in both regions
    And all members hold exactly the writes of both regions

    Examples:
      | lost                       | place | reads                         |
      | everything                 | near  | reads what is old enough only |
      | everything                 | far   | reads what is old enough only |
      | what the far region sends  | near  | reads what is old enough only |
      | what the far region sends  | far   | reads nothing                 |
      | what the near region sends | far   | reads what is old enough only |

  Scenario: The near region's only holder is the steward when the far one goes
    # Two of three holders and the primary are in the far region. The near
    # holder took the lease while the other candidates were paused. Callers in
    # the near region still get a primary, because a VM of another zone there
    # also reports the failure.
    Given two regions under writes, the primary is far
    When the lease goes to the near region's only holder
    And what the far region sends between the regions is lost
    Then the near region goes on writing
