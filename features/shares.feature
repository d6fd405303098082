Feature: A target's limits are split among the holders of its group

  Scenario: A split is exact and monotonic
    Then every split of a limit is exact, fair and never shrinks as it grows

  Scenario: A new holder takes over only what was given up
    # Three VMs hold a target with 20 connections; a fourth joins and takes a
    # place. The one that loses its place still has two busy connections when
    # it answers. The new one starts with what is left and gets the two only
    # after they have been closed: a target never sees more than 20.
    Given shares of VMs a, b and c of a target with 20 connections
    When VM d takes the place of c, which still uses 2
    Then VM d may use 4 connections
    When VM c has closed its connections
    Then VM d may use 6 connections

  Scenario: A holder dies as soon as it has its share
    # VM a is the first to ask and gets its share. It dies in that moment, and
    # the platform's list still has it. Callers must be served by b and c:
    # a's promise has reached them before a began to serve.
    Given new shares of VMs a, b and c of a target with 20 connections
    When VM a asks first and dies once it may use anything
    Then VM b may use 7 connections
    And VM c may use 6 connections

  Scenario: The platform is down and a holder is cut off
    # While only the platform is silent, VMs hear each other and keep their
    # shares. A VM that hears nobody gives up its share before the others may
    # take it, because it can't see that it has left the list.
    Given shares of VMs a, b and c of a target with 20 connections
    When the platform is silent for 60 seconds
    Then VM a may use 7 connections
    When VM a hears nobody for 6 seconds
    Then VM a may use 0 connections

  Scenario: The limit holds in any order of events
    # VMs see lists at different times, join, leave, die, restart, stop for a
    # while and lose or delay messages. No order of these lets the VMs
    # together use more than the target allows.
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
