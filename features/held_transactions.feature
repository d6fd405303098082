Feature: Transactions run through the holders of their targets

  Scenario: Only the next step of a transaction runs
    # Guards against: a repeated step runs twice, or one runs in a transaction
    # that was ended and opened again.
    Then a holder decides on steps
      | open at | step | running | ended | verdict |
      | -       | 0    | no      | no    | open    |
      | -       | 0    | no      | yes   | refuse  |
      | -       | 1    | no      | no    | refuse  |
      | -       | 1    | no      | yes   | refuse  |
      | 1       | 1    | no      | no    | run     |
      | 1       | 1    | yes     | no    | refuse  |
      | 1       | 0    | no      | no    | refuse  |
      | 2       | 1    | no      | no    | refuse  |
      | 1       | 2    | no      | no    | refuse  |

  Scenario: The loss of a holder is unknown only after a commit of writes
    # Guards against: "not run" for a commit that may have taken effect, and
    # "unknown" for a transaction that certainly has not.
    Then the loss of a holder means
      | step      | sent | written | outcome                 |
      | statement | yes  | yes     | NotRun transaction_lost |
      | statement | no   | yes     | NotRun transaction_lost |
      | commit    | no   | yes     | NotRun transaction_lost |
      | commit    | yes  | no      | NotRun transaction_lost |
      | commit    | yes  | yes     | Unknown holder_lost     |

  Scenario Outline: The holders of all zones stay within the target's limit
    # Guards against: holders of six zones together want more connections than
    # the target allows, or the holder of one zone leaves most of them unused.
    Then holders of <zones> zones of <vms> VMs use at most 0.85 of <connections> connections, each at least <least>

    Examples:
      | zones | vms | connections | least |
      | 3     | 81  | 56          | 15    |
      | 6     | 86  | 53          | 7     |
      | 1     | 80  | 53          | 45    |
      | 12    | 480 | 53          | 3     |

  Scenario: Transactions without room are told when to come back
    # Guards against: refused callers come back at once, or all together.
    Given room for 2 transactions that take 100 ms
    When a asks for room with urgency 1 for 60 ms
    Then its request for room is granted
    When a asks for room with urgency 1 for 60 ms
    Then its request for room is granted
    When a asks for room with urgency 1 for 60 ms
    Then its request for room is queued
    When b asks for room with urgency 1 for 110 ms
    Then its request for room is queued
    When c asks for room with urgency 1 for 60 ms
    Then its request for room is refused for 150 ms
    When c asks for room with urgency 1 for 60 ms
    Then its request for room is refused for 200 ms
    When c asks for room with urgency 0 for 60 ms
    Then its request for room is queued
    When a transaction of a ends after 100 ms
    Then room is granted to c
    When a transaction of c ends after 100 ms
    Then room is granted to b
    And at 0.2 s those that still wait are refused

  Scenario: Steps come back whole, whatever is in them
    Then 200 generated steps are the same after decoding

  Scenario: Many VMs before a target with few slots
    # Guards against: each transaction opens a connection, which takes a slot
    # for 12 ms, and most VMs find none left.
    Given 80 VMs in 3 zones before a target of 6 slots and 53 connections
    And load control is on at all of them
    When 40 transactions and 100 reads of 20 ms arrive a second for 8 s
    Then at least 0.95 of both are served, with at most 0.2 connections opened for each statement

  Scenario: Many zones before a target with few slots
    # Guards against: the holders of many zones take the connections from each
    # other.
    Given 80 VMs in 6 zones before a target of 6 slots and 53 connections
    And load control is on at all of them
    When 40 transactions and 100 reads of 20 ms arrive a second for 8 s
    Then at least 0.95 of both are served, with at most 0.2 connections opened for each statement
    And all holders together may open at most 45 connections

  Scenario: Transactions of many teams
    # Guards against: transactions find no slot, because others of their zone
    # open connections of their own teams for each statement.
    Given 81 VMs in 3 zones before a target of 4 slots and 56 connections
    And load control is on at all of them
    When 40 transactions and 120 reads of 10 ms of 83 teams arrive a second for 8 s
    Then at least 0.95 of both are served, with at most 0.25 connections opened for each statement

  Scenario: Callers pause in their transactions
    # Guards against: transactions are refused for want of room at holders
    # while the target has connections left.
    Given 80 VMs in 6 zones before a target of 6 slots and 53 connections
    And load control is on at all of them
    When 40 transactions that pause for 300 ms and 100 reads of 20 ms arrive a second for 8 s
    Then at least 0.95 of both are served, with at most 0.2 connections opened for each statement

  Scenario: Transactions whose holders die are told the truth
    # Guards against: a transaction is reported as not run although it was
    # committed, is committed in part or twice, or takes in statements of
    # another one.
    Given 60 VMs in 2 zones before a target of 6 slots and 53 connections
    And load control is on at all of them
    When holders are lost one after another while transactions arrive
    Then the outcome of each transaction is true, some of them unknown

  Scenario: A holder is lost before the commit was sent to it
    Given 60 VMs in 2 zones before a target of 6 slots and 53 connections
    And load control is on at all of them
    When a transaction is open at its holder
    And its holder is lost
    Then its caller is told NotRun transaction_lost

  Scenario: A holder is lost after the commit was sent to it
    Given 60 VMs in 2 zones before a target of 6 slots and 53 connections
    And load control is on at all of them
    When a transaction is open at its holder
    And its holder is lost while the commit runs
    Then its caller is told Unknown holder_lost

  Scenario: A holder falls silent while a commit runs
    Given 60 VMs in 2 zones before a target of 6 slots and 53 connections
    And load control is on at all of them
    When a transaction is open at its holder
    And its holder falls silent while the commit runs
    Then its caller is told Unknown holder_lost

  Scenario: A holder falls silent while a statement runs
    # Guards against: the transaction stays open at the holder until it has
    # been idle for too long.
    Given 60 VMs in 2 zones before a target of 6 slots and 53 connections
    And load control is on at all of them
    When a transaction is open at its holder
    And its holder falls silent while the statement runs
    Then its caller is told NotRun transaction_lost
    And the holder has rolled it back

  Scenario: A holder falls silent before the first statement
    Given 60 VMs in 2 zones before a target of 6 slots and 53 connections
    And load control is on at all of them
    When a transaction is opened at a holder that has just fallen silent
    Then its caller is told NotRun transaction_lost
    And the holder has rolled it back

  Scenario: A target does not reply when transactions are opened
    # Guards against: a connection whose BEGIN was not answered in time is
    # used for the next statement, which then runs in that transaction.
    Given 60 VMs in 2 zones before a target of 6 slots and 53 connections
    And load control is on at all of them
    When a transaction is open at its holder
    And its target replies to nothing, and reads wait behind transactions
    Then no statement has run in a transaction of another caller

  Scenario: A connection is closed before its loss is reported
    # Guards against: whoever is told of the loss finds the connection usable,
    # and the next statement runs in a transaction whose BEGIN is under way.
    Then a connection to a target that does not reply is lost when it is closed

  Scenario: The primary changes while a commit runs
    # Guards against: a commit is acknowledged that the new primary may lack.
    Given 60 VMs in 2 zones before a target of 6 slots and 53 connections
    And load control is on at all of them
    When a transaction is open at its holder
    And the entry can't prove the primary any more while the commit runs
    Then its caller is told Unknown primary_changed

  Scenario: Transactions amid random faults are told the truth
    # Guards against: an order of losses, delays and ends that none of the
    # other scenarios has.
    When transactions meet random faults for 4 s, drawn from seeds 1 to 6
    Then each outcome is true, and many transactions went through holders

  Scenario: An entry is lost
    # Guards against: its transaction keeps a connection and locks.
    Given 60 VMs in 2 zones before a target of 6 slots and 53 connections
    And load control is on at all of them
    When a transaction is open at its holder
    And its entry is lost
    Then the holder has rolled it back
    And it can't be opened again under its number

  Scenario: A caller leaves
    Given 60 VMs in 2 zones before a target of 6 slots and 53 connections
    And load control is on at all of them
    When a transaction is open at its holder
    And the caller of the transaction leaves
    Then the holder has rolled it back

  Scenario: A caller leaves before its statement has found a slot
    # Guards against: statements that nobody waits for take slots.
    Given 60 VMs in 2 zones before a target of 6 slots and 53 connections
    And load control is on at all of them
    When a transaction is open at its holder
    And its caller leaves while it waits for a slot
    Then the holder has rolled it back
    And none of its statements has run

  Scenario: No further step arrives
    # Guards against: a transaction whose entry never ends it stays open.
    Given 60 VMs in 2 zones before a target of 6 slots and 53 connections
    And load control is on at all of them
    When a transaction is open at its holder
    And the entry forgets it without a word
    And 3.8 s passes in the crowd
    Then the holder still has it open
    When 0.4 s passes in the crowd
    Then the holder has rolled it back

  Scenario: A suspended holder runs no step that comes too late
    # Guards against: the step is handled before the late timer that ends its
    # transaction.
    Given 60 VMs in 2 zones before a target of 6 slots and 53 connections
    And load control is on at all of them
    When a transaction is open at its holder
    And the holder's timers don't run for 4.2 s
    Then a step that is too late is refused as not run
    And the holder has rolled it back

  Scenario: A caller pauses for longer than a transaction may be idle
    Given 60 VMs in 2 zones before a target of 6 slots and 53 connections
    And load control is on at all of them
    When a transaction is open at its holder
    And its caller pauses for 3.1 s
    Then the holder has rolled it back

  Scenario: A holder shuts down
    # Guards against: open transactions get no time to end, or a holder that
    # shuts down accepts new ones.
    Given 60 VMs in 2 zones before a target of 6 slots and 53 connections
    And load control is on at all of them
    When a transaction is open at its holder
    And the holder shuts down
    Then its caller is told Served
    And the next transaction is served through another holder

  Scenario: A transaction is open for longer than a shutdown allows
    Given 60 VMs in 2 zones before a target of 6 slots and 53 connections
    And load control is on at all of them
    When a transaction is open at its holder
    And the holder shuts down
    And half of its grace period is over
    Then the holder has rolled it back
    And its caller is told NotRun transaction_lost

  Scenario: The connection to the target is lost
    Given 60 VMs in 2 zones before a target of 6 slots and 53 connections
    And load control is on at all of them
    When a transaction is open at its holder
    And its connection to the target is lost
    Then its caller is told NotRun transaction_lost

  Scenario Outline: A holder that <cause> is passed over
    # Guards against: a transaction fails although another path is open.
    Given 60 VMs in 2 zones before a target of 6 slots and 53 connections
    And load control is on at all of them
    When the holder can't <what>
    Then the next transaction is served <way>

    Examples:
      | cause                   | what                           | way                    |
      | has no proof            | prove the primary              | through another holder |
      | has no way to target    | reach the target               | through another holder |
      | shuts down              | accept any since it shuts down | through another holder |
      | runs an older version   | answer since it is older       | over own connections   |

  Scenario: Steps that are not the next one
    Given 60 VMs in 2 zones before a target of 6 slots and 53 connections
    And load control is on at all of them
    When a transaction is open at its holder
    Then a step that is repeated is refused as not run
    And a step that is too far is refused as not run
    And a step that is unknown is refused as not run
    And its caller is told Served

  Scenario: Transactions leave connections to single statements
    # Guards against: callers that pause in transactions take all connections
    # of a holder, and the reads of its zone find none.
    Given 80 VMs in 6 zones before a target of 6 slots and 53 connections
    And load control is on at all of them
    When 30 callers of its zone pause in transactions
    Then some of them were refused, with a time to come back
    And 20 reads of its zone are served meanwhile

  Scenario: Without load control, transactions use own connections
    # Guards against: an estate that did not ask for load control is served
    # differently.
    Given 60 VMs in 2 zones before a target of 6 slots and 53 connections
    When the holder can't be used
    Then the next transaction is served over own connections
