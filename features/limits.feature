Feature: A target's limits hold, whoever holds its connections

  Scenario: VMs leave, die and come back under load
    # Callers read and write all the time. One holder leaves the list, another
    # is killed and taken off it, then both come back. Each time other VMs
    # become holders and take over shares. No target ever refuses a slot or a
    # connection, and work goes on, because nobody uses what another one has
    # not given up.
    Given a limits fleet of 5 VMs with 2 slots and 7 connections
    When there is load while holders leave, die and come back
    Then no target has refused a slot or a connection
    And no target has had more than 2 slots or 7 connections in use
    And statements were done after the last change

  Scenario: VMs know different names of groups
    # Holders follow from the names of all groups. A VM that starts knows none,
    # and hears of new ones before or after the others. Meanwhile VMs choose
    # different holders for one group. No order of this, with lists seen late,
    # losses, restarts, pauses and cuts, lets them use more than a limit.
    Then no explored order of names and lists exceeds the limit

  Scenario Outline: The exploration of names catches a seeded fault
    Then the exploration of names fails when <fault>

    Examples:
      | fault                                         |
      | only the best three VMs of a zone are asked   |
      | any holders are agreed to                     |
      | a share is kept when names change             |

  Scenario: A VM that has left a list of two is cut off
    # The list that it saw last names one other VM only, which takes all once
    # the grace time is over. It must have stopped before.
    Given a VM that has seen a list which leaves it out
    When it hears nobody for longer than the isolation time
    Then it gives up its shares

  Scenario: The only VM of a deployment goes on in an outage of the platform
    # Its settings say that there is never another, so nobody can have taken
    # its place. A VM that is alone by chance stops, since somebody may have.
    Given a VM that is alone on its list, and one that is always alone
    When they hear nobody for longer than the isolation time
    Then the one alone by chance gives up its shares and the other goes on

  Scenario: The operators' limit is below the target's
    # The table's row allows one slot and three connections. The target would
    # take more, and counts what it gets.
    Given a limits fleet whose row allows 1 slot and 3 connections
    When there is load for 3 seconds
    Then no target has had more than 1 slots or 3 connections in use
