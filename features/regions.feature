Feature: Regions lose each other for a while
  Two regions of three VMs each behind the fault proxy, which tells the
  regions apart by where a connection comes from. The platform stands in the
  near region, and so do two of the group's three targets.

  Scenario Outline: <lost> between the regions is lost, the primary is <place>
    # Callers in the near region go on writing, after a change of primary if
    # the far region has it: a majority of the targets is near. Callers in the
    # far region are refused at once and truly, since nothing that is sent
    # there could reach a majority; reads of a stated age go on. What was held
    # back on the way arrives late, after the links have healed: orders and
    # acknowledgements of an older term among it. An old primary that has heard
    # of its successor, and can't reach it, may hold entries that nobody else
    # has: it is not read.
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
    # Two of three holders are far, and so is the primary. The near holder took
    # the lease while the other candidates were paused. Callers in the near
    # region get a primary all the same: a VM of another zone there looks too.
    Given two regions under writes, the primary is far
    When the lease goes to the near region's only holder
    And what the far region sends between the regions is lost
    Then the near region goes on writing
