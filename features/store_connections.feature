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
