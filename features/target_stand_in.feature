Feature: The database member stand-in keeps its protocol's promises
  The proofs of the proxy rest on this stand-in, so it is tested alone: what
  a kill leaves behind, what a fence stops, and how a diverged log is mended.

  Scenario: A kill keeps a prefix of the log and the term
    # Writes are answered one after another while the process is killed with
    # SIGKILL. Every answered write must be there after the restart, with its
    # data and log index, because both are committed in one transaction.
    Given target members a1, a2 and a3 with a1 as primary at term 1
    When a1 is killed while target writes are being answered
    And a1 is started again
    Then a1 holds every answered target write and is primary at term 1

  Scenario: A fence ends transactions and is durable before it is answered
    # A transaction is open when the fence comes. Its commit is refused as not
    # run, a write at the old term is refused, and a restart changes none of
    # it.
    Given target members a1, a2 and a3 with a1 as primary at term 1
    When a target transaction is open on a1 and a1 is fenced at term 2
    Then the commit is refused for its term and so are its other steps
    And nothing of the transaction stays
    And a1 refuses target writes of term 1 and a fence at term 1
    When a1 is killed and started again
    Then a1 is fenced at term 2

  Scenario: A member with entries that nobody else has rejoins
    # The primary takes writes while its replicas can't reach it, so they are
    # on no majority. After the promotion of another member it follows, drops
    # those entries and their effect, and takes the new primary's.
    Given target members a1, a2 and a3 with a1 as primary at term 1
    And 3 target writes held by all members
    When a2 and a3 are fenced at term 2 and a1 takes 2 target writes more
    And a2 is promoted at term 2 and the others follow it
    And 1 target write goes to a2
    Then all target members hold the same 4 rows

  Scenario: A pause holds writes, and a fence then says that they did not run
    # A planned change pauses writes before the fence. A write that comes
    # meanwhile waits; the fence answers it as refused at its old term, so its
    # caller knows that it may be sent to the next primary.
    Given target members a1, a2 and a3 with a1 as primary at term 1
    When a1 is paused and a target write waits there
    Then the waiting target write goes on after a resume
    When a1 is paused and a target write waits there
    And a1 is fenced at term 2 under the waiting target write
    Then the waiting target write is refused for its term and did not run

  Scenario: A write on its way when a fence comes is refused, not cut
    # The fence and a write reach the member in one moment, the fence first.
    # The write did not run; a connection closed on it unread would tell its
    # caller nothing, and a planned change would leave writes in doubt.
    Given target members a1, a2 and a3 with a1 as primary at term 1
    When a fence and then a target write come while a1 is stopped
    Then the target write is refused for its term and did not run
    And the connection is of use at the new term

  Scenario: An order to end a connection never ends one of a later life
    # A holder gave a connection up as silent and has the member end it, again
    # and again until it is told so. The member restarts meanwhile: a
    # connection of the new life is another holder's, and a statement on it
    # would be cut for nothing.
    Given target members a1, a2 and a3 with a1 as primary at term 1
    When a1 is started anew under a connection and given another one
    And the connection of before is ordered to end
    Then the connection of the new life goes on

  Scenario: Limits are counted and refused
    # More statements than slots at once, and more connections than allowed:
    # the surplus is refused by the member and the peaks stay at the limits.
    Given target members a1, a2 and a3 with a1 as primary at term 1
    When 10 target connections ask a1 for 25 connections and 3 slots at once
    Then a1 counts at most 20 connections and 3 slots, and refusals

  Scenario: A key gives the first answer again
    # The key is stored with the write's effect and travels with the log, so
    # a second try finds it at the next primary too.
    Given target members a1, a2 and a3 with a1 as primary at term 1
    When a target write with key k1 is sent to a1, then again to a promoted a2
    Then the second answer is the first one again and one row exists
    And the same key with another statement is refused by a2
