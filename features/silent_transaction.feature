Feature: A transaction whose connection went silent holds nobody up

  # The failure: every write of the group times out for as long as the target
  # keeps an abandoned transaction with its write lock. A middlebox between
  # holder and target drops the state of the open connections and passes
  # nothing on them, not even the holder's close; new connections work. The
  # holder must request the end of the transaction over a new connection.
  Scenario: The write lock of a silent transaction is freed
    Given a small fleet behind the fault proxy with a table
    And a caller whose open transaction has written
    When the open connections to the primary go silent
    And that caller goes on with its transaction
    Then the caller is told that the transaction is lost
    And another caller's write is done within 15 s
    And nothing of the lost transaction is there
