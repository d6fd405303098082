Feature: Teams run what they may, counted over all VMs

  Scenario: A bucket that lost its counts lets no second burst in
    # Guards against: a VM that counts is restarted and grants the team's
    # burst again, so that twice the limit runs.
    Then no explored sequence of restarts grants more than rate and burst allow

  Scenario: The exploration finds a bucket that starts full
    Then the exploration finds it when a new bucket holds the whole burst

  Scenario: Never two VMs count for the same part
    # Guards against: a VM that is cut off still counts for a team after
    # another VM has replaced it.
    Then no explored change of the VMs that count leaves two counting

  Scenario: The exploration finds a change in one step
    Then the exploration finds it when a change does not wait

  Scenario Outline: A team gets what it may at <times> times its limit
    # Callers of one team at 40 VMs in four zones send more than its limit.
    # Only operations beyond the limit may be refused, and refusals must be
    # cheap.
    Given 40 VMs in 4 zones that count teams
    When a team that may run 50 a second sends <times> times that for 20 seconds
    Then at least <served> of its limit is granted
    And no span grants more than its limit
    And each refusal comes within 8 ms with a retry delay
    And the operations of another team are granted

    Examples:
      | times | served |
      | 0.9   | 0.99   |
      | 1     | 0.97   |
      | 4     | 0.97   |
      | 8     | 0.97   |

  Scenario: All callers of a team in one zone
    # Guards against: callers of a zone get only that zone's part of the
    # limit.
    Given 40 VMs in 4 zones that count teams
    When all callers of a team are in one zone and send its limit
    Then at least 0.97 of its limit is granted

  Scenario: A tenth of the VMs is lost in the middle of the load
    # Guards against: a team is refused because a VM that counts is gone.
    Given 40 VMs in 4 zones that count teams
    When 20 teams send at their limits and 4 VMs are lost
    Then at least 0.9 of their limits is granted
    And no span grants more than its limit

  Scenario: What has not run is not counted
    # Guards against: while a primary is unavailable, attempts to reach it
    # use up the limit, and reads of other groups are refused.
    Given 40 VMs in 4 zones that count teams
    When every second operation of a team does not run and is returned
    Then at least 0.97 of its limit is granted

  Scenario: Only what no target has run is returned
    # Guards against: the first statement of a transaction ran and was
    # rolled back with its connection, and is granted once more.
    Then these outcomes return an operation, and no others
      | outcome    | reason             | returned |
      | Overloaded | target_connections | yes      |
      | NotRun     | no_primary         | yes      |
      | NotRun     | transaction_lost   | no       |
      | Unknown    | answer_lost        | no       |
      | Failed     | sql                | no       |

  Scenario: A limit that is lowered holds at once
    Given 40 VMs in 4 zones that count teams
    When the limit of a team that sends its limit is halved
    Then no span after that grants more than the lower limit

  Scenario: All VMs start at once and those that count are there last
    # Guards against: after a power failure, callers are refused because no
    # VM that counts answers at first.
    Given 40 VMs in 4 zones that count teams
    When VMs that count answer 0.06 s after the first callers
    Then nothing is refused
    When no VM that counts answers at all
    Then each refusal comes within 450 ms with a retry delay
