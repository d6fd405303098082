Feature: A target's limits are split among the holders of its group

  Scenario: A split is exact and monotonic
    Then every split of a limit is exact, fair and never shrinks as it grows

  Scenario: A new holder takes over only what was given up
    # Three VMs hold a target with 20 connections, and a fourth VM replaces one
    # of them. The replaced VM still uses two connections when it answers. The
    # new one gets these two only after they have been closed, so the target
    # never has more than 20 connections.
    Given shares of VMs a, b and c of a target with 20 connections
    When VM d takes the place of c, which still uses 2
    Then VM d may use 4 connections
    When VM c has closed its connections
    Then VM d may use 6 connections

  Scenario: A holder dies as soon as it has its share
    # VM a is the first to ask, gets its share and dies immediately, while it
    # is still on the platform's list. VMs b and c must still get their shares:
    # a's promise has reached them before a used its own share.
    Given new shares of VMs a, b and c of a target with 20 connections
    When VM a asks first and dies once it may use anything
    Then VM b may use 7 connections
    And VM c may use 6 connections

  Scenario: The platform is down and a holder is cut off
    # In an outage of only the platform the VMs have contact with each other
    # and keep their shares. A VM without any contact gives up its share before
    # the others may use it, because it can't see that it was removed from the
    # list.
    Given shares of VMs a, b and c of a target with 20 connections
    When the platform is silent for 60 seconds
    Then VM a may use 7 connections
    When VM a hears nobody for 6 seconds
    Then VM a may use 0 connections

  Scenario: The limit holds in any order of events
    # VMs see lists at different times, join, leave, die, restart, pause, and
    # lose or delay messages. In no order of these events do the VMs together
    # use more than the target allows.
    Then no explored order of events exceeds the limit

  Scenario Outline: The exploration catches a seeded fault
    Then the exploration fails when <fault>

    Examples:
      | fault                                 |
      | a share grows without a promise       |
      | promises from before a change count   |
      | what is still used is ignored         |
      | a VM off the list is forgotten        |
      | any list of holders is agreed to      |
      | a share is kept after a change        |
      | a new VM trusts its first list        |
      | a cut-off VM keeps its share          |
