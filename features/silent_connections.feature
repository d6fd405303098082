Feature: Connections that went silent are replaced without a storm

  Scenario: Something between holders and a replica forgets all connections
    # From one moment on nothing passes on any connection that stands, while
    # new ones work. Reads go on at once elsewhere or after one lost exchange.
    # Idle connections are found by their heartbeat and replaced one by one;
    # the target itself is well and is not taken for dead.
    Given a silent fleet under a light load
    When all connections to a replica go silent
    Then that replica serves reads again within 10 seconds
    And it got at most 14 new connections for it
    And the group's term is still the same

  Scenario: The same at the primary
    # Writes under way on a forgotten connection end as unknown at their
    # deadline; later ones are done on new connections. (Transactions that
    # are open on such a connection: silent_transaction.feature.)
    Given a silent fleet under a light load
    When all connections to the primary go silent
    Then writes are done again within 10 seconds
    And it got at most 14 new connections for it

  Scenario: Idle connections go silent while nobody calls
    # No statement meets the silence. The heartbeats find it, and the first
    # write through each VM afterwards is done on a connection that works; no
    # caller hears anything of it.
    Given a silent fleet under a light load
    When the load stops and all connections to the primary go silent
    Then 4 seconds later the first write through each VM is done

  Scenario: Many connections lost at once are opened again one by one
    # Decisions only. All 6 connections of a share go at once while 20
    # statements wait: the new ones come a pause apart and never beyond the
    # share, whatever else ends or is opened meanwhile.
    Then no explored loss opens connections faster than the pace or the share
