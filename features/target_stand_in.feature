Feature: The database member stand-in keeps its protocol's guarantees
  Other tests rely on this stand-in, so it is tested on its own: the state
  after a kill, the effect of a fence, and the repair of a diverged log.

  Scenario: A kill keeps a prefix of the log and the term
    # The process is killed with SIGKILL while it answers writes. After the
    # restart every answered write must be present with its data and log
    # index, because both are committed in one transaction.
    Given target members a1, a2 and a3 with a1 as primary at term 1
    When a1 is killed while target writes are being answered
    And a1 is started again
    Then a1 holds every answered target write and is primary at term 1

  Scenario: A fence ends transactions and is durable before it is answered
    # The member is fenced while a transaction is open. The commit is refused
    # as not run, a write at the old term is refused, and both still hold
    # after a restart.
    Given target members a1, a2 and a3 with a1 as primary at term 1
    When a target transaction is open on a1 and a1 is fenced at term 2
    Then the commit is refused for its term and so are its other steps
    And no effect of the transaction is kept
    And a1 refuses target writes of term 1 and a fence at term 1
    When a1 is killed and started again
    Then a1 is fenced at term 2

  Scenario: A member with entries that nobody else has rejoins
    # The primary accepts writes while its replicas can't reach it, so no
    # majority holds them. After the promotion of another member it follows,
    # drops these entries with their effects and stores the new primary's.
    Given target members a1, a2 and a3 with a1 as primary at term 1
    And 3 target writes held by all members
    When a2 and a3 are fenced at term 2 and a1 accepts 2 more target writes
    And a2 is promoted at term 2 and the others follow it
    And 1 target write is sent to a2
    Then all target members hold the same 4 rows

  Scenario: A pause holds writes, and a fence then says that they did not run
    # A planned primary change pauses writes before the fence. A write that
    # arrives during the pause waits; the fence refuses it for its old term,
    # so its caller knows that it may be sent to the next primary.
    Given target members a1, a2 and a3 with a1 as primary at term 1
    When a1 is paused and a target write waits there
    Then the waiting target write completes after a resume
    When a1 is paused and a target write waits there
    And a1 is fenced at term 2 while the target write waits
    Then the waiting target write is refused for its term and did not run

  Scenario: A write on its way when a fence comes is refused, not cut
    # The fence and a write arrive at the same moment, the fence first. The
    # write does not run. If the connection were closed instead, its caller
    # would not know this, and a planned primary change would leave the
    # outcome of writes unknown.
    Given target members a1, a2 and a3 with a1 as primary at term 1
    When a fence and then a target write arrive while a1 is suspended
    Then the target write is refused for its term and did not run
    And the connection can be used at the new term

  Scenario: An order to end a connection never ends one of a later life
    # A holder gives up an unresponsive connection and asks the member to end
    # it, repeatedly until it gets an answer. If the member restarts in
    # between, a new connection with the same id may belong to another holder,
    # and a statement on it would be interrupted without reason.
    Given target members a1, a2 and a3 with a1 as primary at term 1
    When a1 is restarted under a connection and gets a new connection
    And the earlier connection is ordered to end
    Then the new connection still works

  Scenario: Limits are counted and refused
    # With more concurrent statements than slots and more connections than
    # allowed, the member refuses the surplus and the peaks stay at the limits.
    Given target members a1, a2 and a3 with a1 as primary at term 1
    When 10 target connections ask a1 for 25 connections and 3 slots at once
    Then a1 counts at most 20 connections and 3 slots, and refusals

  Scenario: A key gives the first answer again
    # The key is stored with the effect of the write and replicated with the
    # log, so a second attempt finds it at the next primary too.
    Given target members a1, a2 and a3 with a1 as primary at term 1
    When a target write with key k1 is sent to a1, then again to a promoted a2
    Then the second answer repeats the first one and one row exists
    And the same key with another statement is refused by a2
