Feature: The store comes back from an older copy
  What was written last is gone, and revisions go back and are given out again.

  Scenario: A configuration that follows is in force in time
    # Guards against: the configuration is ignored for its lower revision.
    Given an estate with 3 VMs and 2 groups
    When 10 callers work for 10 s
    And after 5 s the store comes back from a copy of 5 s before
    And after 7 s a database is added
    Then every promise was kept
    And every VM has opened the added database within 2 s
    And no VM has put an older configuration in force

  Scenario: An update is not sent under a condition of an earlier era
    # Guards against: the revision was given out again, and the update replaces
    # what another VM has stored since.
    Given a store whose answers are of era 2
    When a VM updates an object that it has read in era 1
    Then the object is read instead, and shown as a conflict

  Scenario: An update that was done in a later era is read back
    # Guards against: the store comes back while the update is on its way, and
    # its condition is judged by other revisions than it was meant for.
    Given a store whose answers are of era 1
    When it comes back in era 2 while an update is on its way
    Then the update may have been done or not

  Scenario: A watch that waits while the store comes back begins anew
    # Guards against: what was written between the copy's revision and the
    # watch's is never shown.
    Given a store whose answers are of era 1
    When it comes back in era 2 while a watch waits
    Then the watch has lost its history
    And the next one from there is not sent

  Scenario: Pages of two eras make no list
    # Guards against: objects of before the return are taken for those of after.
    Given a store whose answers are of era 1
    When it comes back in era 2 between two pages of a list
    Then the list tells nothing

  Scenario: A watch whose history is gone again and again pauses
    # Guards against: lists as fast as the store answers them, for seconds.
    Given a store that has the history of no watch
    When a kind is watched for 10 s
    Then at most 110 lists were asked for

  Scenario: A change of primary that the store has lost is not undone
    # Guards against: the former primary, which the store names again, is used
    # beside the new one, and the next change is ordered with a lower number.
    Given an estate with 3 VMs and 2 groups
    When 10 callers work for 14 s
    And after 2 s the primary of group0 crashes for 4 s
    And after 5 s the store comes back from a copy of 4 s before
    And after 9 s the primary of group1 crashes for 3 s
    Then every promise was kept
    And group0 had another primary within 3 s
    And group1 had another primary within 5 s
    And writes were served in group0 at the end
    And all groups are settled in the store's present era

  Scenario: No explored return of the store lets a former primary be proven
    # Guards against: a restored record is taken for the newest, by a VM that
    # has missed the change of primary which the store has lost.
    Then in 3000 explored returns of the store no proof outlives a promotion
    And the exploration has seen records lost, settled and replaced

  Scenario: The exploration finds a restored record that is taken as it is
    Then in 3000 explored returns a restored record that proves is found

  Scenario: A VM files its entry anew before it takes another proof
    # Guards against: a VM whose entry the store has lost proves a primary, and
    # the change that replaces it waits for all VMs but this one.
    Given a VM that has filed its entry
    When the store comes back and does not answer
    Then it may take no proof
    When the store takes its entry
    Then it may take proofs again

  Scenario: An entry that the store has lost on the way is filed again
    # Guards against: the entry was taken right before the return, and its
    # answer came after it.
    Given a VM whose entry is taken as the store comes back
    Then it files its entry once more before it takes a proof

  Scenario: A change waits for the proofs of VMs that the list may lack
    # Guards against: a VM that can't read the store does not know that its
    # entry is lost, and all that are listed have let go.
    Given a VM that leads and 1 listed VM that lets go at once
    When it asks all to let go of a primary
    Then all have let go
    When the store has come back 40 s ago and it asks again
    Then it does not hear that all have let go, but has told the VM
    When the store has come back 46 s ago and it asks again
    Then all have let go

  Scenario: No key runs late because the store has lost its removal
    # Guards against: the store shows the configuration that still has the key,
    # which seems to be confirmed until the operator has written again.
    Then no explored return of the store lets a key run too late

  Scenario: No return of the store has a team counted by two VMs
    # Guards against: a choice of who counts that was replaced since counts
    # again, and each of two VMs lets in what a team may run.
    Then no explored return of the store leaves two VMs counting

  Scenario: The exploration finds what a return of the store could do
    Then the exploration finds a restored choice that counts as it is
    And the exploration finds a choice that is stored anew at once by anybody

  Scenario: A leaving target gets no more time because the store forgets it
    # Guards against: the restored entry says ready, and when the target says
    # again that it leaves its time begins anew.
    Given a VM that has seen a target leave
    When the store comes back and shows the target as ready
    Then the target still leaves, by the time it had
    When the store still shows the target as ready 3 s later
    Then the target leaves no more
