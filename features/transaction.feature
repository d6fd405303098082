Feature: Transactions stay whole and apart
  Five VMs, three of which hold the group: a transaction's steps come through
  VMs that only forward them to the holder with the pinned connection.

  Scenario: Steps through different VMs, unseen until the commit
    # One transaction moves money with each step through another VM while
    # another session looks on. That session sees both halves or none.
    Given a transaction fleet
    When a transaction moves 100 from a to b through a different VM each step
    Then the other session sees none of it until the commit and all after it

  Scenario: Two transactions on one group never mix
    # Many transactions each write their own name several times, at the same
    # time and through all VMs, and half of them roll back. What is left must
    # be whole groups of the committed names.
    Given a transaction fleet
    When 24 transactions write 3 rows each at once and every second rolls back
    Then exactly the committed transactions have their 3 rows

  Scenario: The holder dies in the middle
    # Its connection to the target closes with it, so the target rolls back.
    # The caller's next step surely did not run and says so; a commit can't be
    # told from one that was sent before the death, so it is unknown.
    Given a transaction fleet
    When a transaction has written a row and its holder is killed
    Then its next statement is not_run with transaction_lost
    And its commit is unknown with transaction_lost
    And the row is at no target, and another write goes through

  Scenario: The holder loses its place in the middle
    # VMs come and go, and groups get other holders for it. The one with the
    # open transaction still runs its steps, and so it must still see what the
    # targets hold: else each such commit ends as unknown, though it is done.
    # So do writes that wait for a majority at that moment.
    Given a transaction fleet
    When a transaction has written a row and its holder is no holder any more
    Then its commit is done
    And exactly 1 row of it is at every target

  Scenario: The entry dies in the middle
    # An entry keeps nothing of a transaction. The caller goes on with its
    # handle through another one, and the commit has its effect once.
    Given a transaction fleet
    When a transaction has written a row and its entry is killed
    Then it goes on through another VM and commits
    And exactly 1 row of it is at every target

  Scenario: An answer is missed and the statement sent again
    # The statement ran, its answer was lost with the entry. The caller, told
    # nothing, sends it again with the handle it has. Run a second time in the
    # same transaction it would be doubled; the old handle ends it instead.
    Given a transaction fleet
    When a transaction's statement is answered but the answer is lost
    Then the same statement again is not_run with transaction_lost
    And the row is at no target, and another write goes through

  Scenario: The answer to a commit is lost
    # The commit was done at the target; between holder and entry the answer
    # is held back. The entry can't know and says unknown. The whole
    # transaction again under its key, through another VM, gets the first
    # answer and leaves one row.
    Given a transaction fleet
    When the commit of a transaction with key k1 loses its answer
    Then that commit is unknown
    And the same transaction again with key k1 is done as a replay
    And exactly 1 row of it is at every target

  Scenario: A commit that is asked for again
    # The same commit comes a second time through another VM, as after a lost
    # answer. The holder remembers how it ended and says the same again.
    Given a transaction fleet
    When a transaction has written a row and commits
    Then the same commit through another VM is done again as a replay
    And exactly 1 row of it is at every target

  Scenario: A caller that never comes back
    # An open transaction holds the target's only write lock. Its caller is
    # gone, so nobody ends it; after its idle time the holder does.
    Given a transaction fleet
    When a transaction has written a row and its caller is gone
    Then another write is done within 10 seconds
    And the row is at no target, and another write goes through

  Scenario: Somebody else's handle
    # A handle is bound to the caller and the group that began it. Taken by
    # another session it ends nothing and runs nothing.
    Given a transaction fleet
    When a transaction has written a row and another caller takes its handle
    Then the other caller is refused with no_transaction
    And the transaction still commits

  Scenario: Late answers are never taken for others
    # Answers from every target come 400 ms late while callers give up after
    # 150 ms. Each later answer on that connection would be the one before it.
    # Every read asks for its own number and must get that or no answer.
    Given a transaction fleet
    When targets answer 400 ms late to callers that wait 150 ms
    Then every answered read has its own number
    And reads work again once the delay ends

  Scenario: Writes go on after a change of primary
    # The primary freezes while callers write. What surely was not run waits
    # for the next primary and goes on; what was sent can't be known, and is
    # told so when the new term is known, long before the callers' deadline.
    # No write is refused.
    Given a transaction fleet
    When 12 callers write with a deadline of 15 seconds while the primary freezes
    Then each of those writes was done or unknown
    And unknown writes were answered within 8 seconds
    And writes that began during the change were done after it
