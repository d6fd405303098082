Feature: A transaction whose connection went silent holds nobody up

  # Callers see every write of the group time out, for as long as the target
  # keeps the transaction. What lies between holder and target forgets the
  # connections that are open and passes nothing more on them, also not that
  # the holder closed its end; new connections work. The target keeps the
  # transaction with its write lock, until the holder orders it to be ended.
  Scenario: The write lock of a silent transaction is freed
    Given a small fleet behind the fault proxy with a table
    And a caller whose open transaction has written
    When the open connections to the primary go silent
    And that caller goes on with its transaction
    Then the caller is told that the transaction is lost
    And another caller's write is done within 15 s
    And nothing of the lost transaction is there
