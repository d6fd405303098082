Feature: A VM with sessions that is told to stop cuts no statement

  Scenario: Callers that are never idle are refused before the exit
    # Guards against statements, transactions and sessions that begin until the
    # process exits and are then cut, because their callers never rest.
    Then in 300 explored shutdowns every statement is answered and none begins late
    And the explored shutdowns paused, refused, crossed and interrupted

  Scenario Outline: What a VM that has been stopping for <elapsed> of 6 s answers
    # Guards against a session that is looked at only every 50 ms and goes on.
    Given a session at a VM that was told to stop <elapsed> s ago of 6
    When it is asked to <text>
    Then its answer is <answer>

    Examples:
      | elapsed | text      | answer           |
      | 2.4     | READ a    | served           |
      | 2.4     | SET x 1   | acknowledged     |
      | 2.6     | READ a    | not_run draining |
      | 2.6     | WRITE a 1 | not_run draining |
      | 2.6     | SET x 1   | not_run draining |
      | 2.6     | BEGIN     | not_run draining |

  Scenario: A session is told to go with the answer that was under way
    # Guards against callers that learn of the stop only by a refused statement.
    Given a session at a VM that was told to stop 2.4 s ago of 6
    When READ a, which takes 0.2 s, is asked of it
    Then it is served and then told to go

  Scenario: A transaction is rolled back after the statement at half of the time
    # Guards against a transaction that had a statement in progress when all
    # open ones were rolled back, and goes on until the exit.
    Given a session at a VM that was told to stop 2.4 s ago of 6
    When it is asked to BEGIN
    And READ a, which takes 0.7 s, is asked of it
    Then its connection was released
    When it is asked to COMMIT
    Then it is refused as draining and told to go

  Scenario: Statements that crossed the word to go are all refused
    # Guards against a second statement of the same packet that is dropped
    # with its connection.
    Given a session
    When its disconnection is requested
    And READ a and WRITE a 1 that were in transit arrive
    Then both are refused and the connection is closed

  Scenario: A new session is refused once nothing may begin
    # Guards against sessions of new connections that are cut at the exit.
    Given a session at a VM that was told to stop 2.4 s ago of 6
    Then a new session is opened
    When 0.2 s pass
    Then a new session is refused as draining

  Scenario: Callers that never rest use a VM until it is gone
    # Guards against the statements of busy callers that end without an answer
    # when the process exits (review/6).
    Given an estate with 2 VMs and 1 groups
    When 12 busy callers use vm1 until it has stopped
    Then each of their statements was answered
    And vm1 has exited by itself

  Scenario: What is unanswered when a VM exits is answered
    # Guards against statements at a slow target, and others queued behind
    # them, that end without an answer when the process exits.
    Given an estate with 1 VM and 1 group of one slot a member
    When vm0 is told to stop with statements that outlast its grace time
    Then the write that was sent is told as unknown
    And all other statements are told that they have not run
