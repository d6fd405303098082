Feature: A target's limits hold, whoever holds its connections

  Scenario: VMs leave, die and come back under load
    # Under load one holder leaves the list, another one is killed and removed
    # from it, then both return. Each time other VMs become holders and take
    # over shares. No target refuses a slot or a connection, because no VM uses
    # what another one has not released, and statements still succeed.
    Given a limits fleet of 5 VMs with 2 slots and 7 connections
    When there is load while holders leave, die and come back
    Then no target has refused a slot or a connection
    And no target has had more than 2 slots or 7 connections in use
    And statements were done after the last change

  Scenario: VMs know different names of groups
    # Holders are computed from the names of all groups. A VM that starts knows
    # none and learns new ones before or after the others, so that VMs compute
    # different holders for one group. In no order of this, with late lists,
    # lost messages, restarts, pauses and isolation, do they exceed a limit.
    Then no explored order of names and lists exceeds the limit

  Scenario Outline: The exploration of names catches a seeded fault
    Then the exploration of names fails when <fault>

    Examples:
      | fault                                         |
      | only the best three VMs of a zone are asked   |
      | any holders are agreed to                     |
      | a share is kept when names change             |

  Scenario: A VM that has left a list of two is cut off
    # The last list that the VM has seen names only one other VM, which takes
    # the whole limit after the grace period. The VM must have stopped before.
    Given a VM that has seen a list which leaves it out
    When it hears nobody for longer than the isolation time
    Then it gives up its shares

  Scenario: The only VM of a deployment goes on in an outage of the platform
    # The settings state that there is never another VM, so it can't have been
    # replaced. A VM that only happens to be alone stops, as it may have been.
    Given a VM that is alone on its list, and one that is always alone
    When they hear nobody for longer than the isolation time
    Then the one alone by chance gives up its shares and the other goes on

  Scenario: The operators' limit is below the target's
    # The table row allows one slot and three connections. The target allows
    # more and counts what is used.
    Given a limits fleet whose row allows 1 slot and 3 connections
    When there is load for 3 seconds
    Then no target has had more than 1 slots or 3 connections in use
