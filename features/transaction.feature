Feature: Transactions stay whole and apart
  Five VMs, three of which hold the group. The steps of a transaction are sent
  to VMs that only forward them to the holder with the pinned connection.

  Scenario: Steps through different VMs, unseen until the commit
    # A transaction moves money, each step through another VM. Another session
    # that reads meanwhile sees both updates or none.
    Given a transaction fleet
    When a transaction moves 100 from a to b through a different VM each step
    Then the other session sees none of it until the commit and all after it

  Scenario: Two transactions on one group never mix
    # Many concurrent transactions through all VMs each write their own name
    # several times, and half of them roll back. Exactly the rows of the
    # committed transactions must remain.
    Given a transaction fleet
    When 24 transactions write 3 rows each at once and every second rolls back
    Then exactly the committed transactions have their 3 rows

  Scenario: The holder dies in the middle
    # The holder's connection to the target closes, so the target rolls back.
    # The caller's next statement is known not to have run. A commit is
    # unknown, because an earlier one may have been sent before the holder
    # died.
    Given a transaction fleet
    When a transaction has written a row and its holder is killed
    Then its next statement is not_run with transaction_lost
    And its commit is unknown with transaction_lost
    And the row is at no target, and another write goes through

  Scenario: The holder loses its place in the middle
    # When VMs join or leave, groups get other holders. The VM with the open
    # transaction still runs its steps and must still receive the targets'
    # positions. Otherwise each such commit, and each write that waits for a
    # majority at that moment, ends as unknown although it is done.
    Given a transaction fleet
    When a transaction has written a row and its holder is no holder any more
    Then its commit is done
    And exactly 1 row of it is at every target

  Scenario: The entry dies in the middle
    # An entry stores no state of a transaction. The caller continues with its
    # handle through another entry, and the commit takes effect once.
    Given a transaction fleet
    When a transaction has written a row and its entry is killed
    Then it goes on through another VM and commits
    And exactly 1 row of it is at every target

  Scenario: An answer is missed and the statement sent again
    # The statement ran, but its answer was lost with the entry. The caller
    # sends it again with the old handle. Running it again in the same
    # transaction would apply it twice; instead the old handle rolls the
    # transaction back.
    Given a transaction fleet
    When a transaction's statement is answered but the answer is lost
    Then the same statement again is not_run with transaction_lost
    And the row is at no target, and another write goes through

  Scenario: The answer to a commit is lost
    # The target has committed, but the answer is held back between holder and
    # entry, so the entry reports an unknown outcome. Running the whole
    # transaction again with its key through another VM gets the first answer
    # and leaves one row.
    Given a transaction fleet
    When the commit of a transaction with key k1 loses its answer
    Then that commit is unknown
    And the same transaction again with key k1 is done as a replay
    And exactly 1 row of it is at every target

  Scenario: A commit that is asked for again
    # The same commit is sent again through another VM, as after a lost answer.
    # The holder keeps the outcome and returns it again.
    Given a transaction fleet
    When a transaction has written a row and commits
    Then the same commit through another VM is done again as a replay
    And exactly 1 row of it is at every target

  Scenario: A caller that never comes back
    # An open transaction holds the target's only write lock. Its caller has
    # gone and never ends it; the holder ends it after the idle timeout.
    Given a transaction fleet
    When a transaction has written a row and its caller is gone
    Then another write is done within 10 seconds
    And the row is at no target, and another write goes through

  Scenario: Somebody else's handle
    # A handle is bound to the caller and the group that began the transaction.
    # Used by another session, it ends nothing and runs nothing.
    Given a transaction fleet
    When a transaction has written a row and another caller takes its handle
    Then the other caller is refused with no_transaction
    And the transaction still commits

  Scenario: Late answers are never taken for others
    # Targets answer 400 ms late, while callers time out after 150 ms. If the
    # connection were reused, each answer would be that of the previous
    # request. Every read selects its own number and must get that number or no
    # answer.
    Given a transaction fleet
    When targets answer 400 ms late to callers that wait 150 ms
    Then every answered read has its own number
    And reads work again once the delay ends

  Scenario: Writes go on after a change of primary
    # The primary freezes while callers write. Writes that are known not to
    # have run wait for the next primary and are done there. Writes that were
    # already sent end as unknown when the new term is known, long before the
    # callers' deadline. No write is refused.
    Given a transaction fleet
    When 12 callers write with a deadline of 15 seconds while the primary freezes
    Then each of those writes was done or unknown
    And unknown writes were answered within 8 seconds
    And writes that began during the change were done after it
