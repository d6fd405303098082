Feature: Silent connections are replaced without a connection storm

  Scenario: Something between holders and a replica forgets all connections
    # No data passes on existing connections any more, while new connections
    # work. Reads continue at other targets immediately or after one lost
    # request. The heartbeat detects the idle connections, which are replaced
    # one at a time; the target itself is healthy and is not considered failed.
    Given a silent fleet under a light load
    When all connections to a replica go silent
    Then that replica serves reads again within 10 seconds
    And it got at most 14 new connections for it
    And the group's term is still the same

  Scenario: The same at the primary
    # Writes in flight on a silent connection end as unknown at their deadline;
    # later writes use new connections. Transactions that are open on such a
    # connection are covered by silent_transaction.feature.
    Given a silent fleet under a light load
    When all connections to the primary go silent
    Then writes are done again within 10 seconds
    And it got at most 14 new connections for it

  Scenario: Idle connections go silent while nobody calls
    # No statement is sent on the silent connections. The heartbeats detect
    # them, and the first write through each VM afterwards uses a working
    # connection, so that no caller is affected.
    Given a silent fleet under a light load
    When the load stops and all connections to the primary go silent
    Then 4 seconds later the first write through each VM is done

  Scenario: Many connections lost at once are opened again one by one
    # Tests the decisions without processes. All 6 connections of a share are
    # lost at once while 20 statements wait. New connections are opened with a
    # minimum interval and never exceed the share, whatever other connections
    # end or are opened meanwhile.
    Then no explored loss opens connections faster than the pace or the share
