Feature: Connections to the store go silent for good while new ones work

  Scenario: A call without an answer is logged with the state of its connection
    # Guards against logs that do not tell a silent connection from a store
    # that does not answer.
    Given a store that answers after 4 ms
    When a configuration is read
    And all connections to it go silent, and it is read again 0.5 s later
    Then a timeout on a connection that was idle for 500 ms is logged
    And one timed out call is counted for the purpose "catalog"

  Scenario: A configuration that is announced and does not arrive is shown
    # Guards against logs and metrics that do not tell a VM that was told late
    # from one that gets the configuration late.
    Given a store that answers after 4 ms
    And a VM that has version 1 of the configuration
    When version 2 is announced and does not arrive for 0.8 s
    Then the VM reports a pending configuration for 800 ms
    When version 2 arrives from another VM
    Then the VM reports no pending configuration
    And the log has the announcement of version 2 and its way "vm" after 800 ms

  Scenario: A configuration that is announced no more is not pending
    # Guards against a metric that grows for good after the announcement of a
    # version that the store has lost.
    Given a store that answers after 4 ms
    And a VM that has version 1 of the configuration
    When version 2 is announced and does not arrive for 0.8 s
    And version 1 is announced as the newest
    Then the VM reports no pending configuration

  Scenario: A connection that was idle for long is not used again
    # Guards against a read that waits for its time limit on a connection that
    # has gone silent since the last read.
    Given a store that answers after 4 ms
    When a configuration is read
    And all connections to it go silent, and it is read again 1.5 s later
    Then the second read is answered within 10 ms

  Scenario: A connection in frequent use is kept
    # Guards against a new connection for each call.
    Given a store that answers after 4 ms
    When a configuration is read every 0.9 s, 20 times
    Then one connection was opened

  Scenario: A read that has failed is repeated at once
    # Guards against a VM that waits for the next announcement after a read of
    # an announced configuration has failed.
    Given a store that answers after 4 ms
    And a VM that has version 1 of the configuration and reads the store
    When version 2 is announced and the read fails
    Then it is read again within 0.2 s
    When version 2 is read
    Then it is not read again within 2 s
    When version 3 is announced, the read fails, and no VM announces it any more
    Then it is not read again within 2 s

  Scenario: A configuration is in force in time after connections went silent
    # Guards against a VM that is told of a newer configuration and waits for
    # 2.5 s for a read on a connection that was idle since the last one.
    Given an estate with 3 VMs and 2 groups
    When 10 callers work for 15 s
    And after 1 s the configuration changes
    And after 3 s all open connections to the store go silent
    And after 9 s a database is added
    Then every promise was kept
    And every VM has opened the added database within 3 s

  Scenario: A configuration is in force in time although the leader is lost
    # Guards against a VM without a leader that watches the store, or lists
    # what the store has no history of, on a connection that was idle meanwhile.
    Given an estate with 3 VMs and 2 groups
    When 10 callers work for 18 s
    And after 1 s the leader is killed and started again
    And after 6 s all open connections to the store go silent
    And after 11 s the store forgets its history
    And after 12 s the leader is killed and a database is added
    Then every promise was kept
    And every other VM has opened the added database within 3 s
