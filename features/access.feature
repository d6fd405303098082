Feature: A session's statements are those of its key's team

  Scenario: Keys open what they may
    Given a configuration with the teams bank and shop
    Then the key of bank opens sessions of bank
    And an unknown key is refused as unknown_key
    And any credential opens a route that needs no key
    And the key of shop opens sessions of shop on that route

  Scenario: A key of two teams opens nothing
    # Guards against: statements of one team run in the name of another.
    Given a configuration in which two teams share a key
    Then that key is refused as unknown_key
    And a log line names both teams and no key

  Scenario: A key that goes to another team takes no session along
    # Guards against: a session's later statements run for the new team.
    Given an open session of bank
    When its key is given to shop
    Then its next statement is refused as unknown_key

  Scenario: A key is taken away in the middle of a transaction
    # Guards against: a transaction that began before the removal is
    # committed too late.
    Given an open session of bank
    When it has begun a transaction and its key is removed
    Then its next statement is refused as unknown_key
    And the transaction has failed and its connection is released

  Scenario: Without word from the store keys end by themselves
    # Guards against: a VM that is cut off accepts a key indefinitely.
    Given an open session of bank
    When nothing is confirmed for 5 seconds
    Then its next statement is refused as key_unconfirmed
    And a new session is refused as key_unconfirmed
    And callers are sent to other VMs long before that

  Scenario: No explored world runs what was sent a key's life after its removal
    # Guards against: ages that decrease when VMs relay them, answers that
    # arrive out of order, and VMs that are paused in between.
    Then no explored run with relays accepts a removed key too late

  Scenario: The exploration finds an age that counts from the answer
    Then the exploration finds it when ages count from the answer

  Scenario: A version that can't be read confirms nothing
    # Guards against: the version that removed a key is skipped as
    # malformed.
    Given a VM that follows the configuration
    When a version comes that it can't read
    Then no later answer confirms its keys
    And a version that it can read does

  Scenario: A VM that can't read the store gets the configuration from another
    # Guards against: a third of the VMs refuse all keys because they know
    # of a new version but can't read it.
    Given a VM that follows the configuration
    When the store fails to return a newer version that another VM has
    Then it gets the data from that VM, in force and confirmed

  Scenario: Connections are a team's own
    # Guards against: a statement runs at a target in another team's name.
    Then no explored load gives a team another team's connection

  Scenario: A connection that rests for one team makes room for another
    Given a pool of 2 idle connections of bank
    When shop asks for a connection
    Then it gets one within 0.1 s

  Scenario: The key stays on the line that it came on
    # Guards against: a key appears in a log or a metric, or reaches a
    # target.
    Given an estate with keys and 3 VMs
    When 8 callers of all teams work for 4 seconds
    Then no check has failed
    And no log line and no metric shows a key
    And logs show the team of each statement
    And metrics show the outcomes of statements of bank and shop

  Scenario: Metrics name the largest teams only
    Then of 100 teams 32 are shown by name and nothing is lost

  Scenario: A key is taken away while the store is silent
    # Guards against: VMs that have not read of the removal still accept the
    # key.
    Given an estate with keys and 3 VMs
    When the store does not answer and a key is removed after 1 second
    And 8 callers of all teams work for 9 seconds
    Then no check has failed
    And the other key was served before and after

  Scenario: A team sends five times what it may at three VMs
    Given an estate with keys and 3 VMs
    When all VMs know which VMs count
    And the team flood sends without a pause
    And 8 callers of all teams work for 8 seconds
    Then no check has failed
    And the team flood ran at least 0.9 of its limit
