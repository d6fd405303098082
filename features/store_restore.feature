Feature: The store comes back from an older copy
  The last writes are lost, and revisions go back and are assigned again.

  Scenario: A configuration that follows is in force in time
    # Guards against ignoring the configuration because of its lower revision.
    Given an estate with 3 VMs and 2 groups
    When 10 callers work for 10 s
    And after 5 s the store comes back from a copy of 5 s before
    And after 7 s a database is added
    Then every promise was kept
    And every VM has opened the added database within 2 s
    And no VM has activated an older configuration

  Scenario: An update is not sent under a condition of an earlier era
    # Guards against an update that overwrites what another VM has stored since
    # because the same revision was assigned again.
    Given a store whose answers are of era 2
    When a VM updates an object that it has read in era 1
    Then the object is read instead, and returned as a conflict

  Scenario: An update that was done in a later era is read back
    # Guards against an update that is in flight while the store is restored,
    # so that its condition is compared with revisions of another era.
    Given a store whose answers are of era 1
    When it is restored in era 2 while an update is in flight
    Then the outcome of the update is unknown

  Scenario: A watch that waits while the store comes back begins anew
    # Guards against never seeing the writes between the copy's revision and
    # the revision of the watch.
    Given a store whose answers are of era 1
    When it is restored in era 2 while a watch waits
    Then the watch has lost its history
    And the next one from there is not sent

  Scenario: Pages of two eras make no list
    # Guards against a list that mixes objects from before and after a restore.
    Given a store whose answers are of era 1
    When it is restored in era 2 between two pages of a list
    Then the list call fails

  Scenario: A watch whose history is gone again and again pauses
    # Guards against requesting lists as fast as the store answers.
    Given a store that has no history for any watch
    When a kind is watched for 10 s
    Then at most 110 lists were requested

  Scenario: A change of primary that the store has lost is not undone
    # Guards against using the former primary, which the restored record names,
    # in parallel with the new one, and against ordering the next change with a
    # lower fencing number.
    Given an estate with 3 VMs and 2 groups
    When 10 callers work for 14 s
    And 2 callers write to group0 all the while
    And after 2 s the primary of group0 crashes for 4 s
    And after 5 s the store comes back from a copy of 4 s before
    And after 9 s the primary of group1 crashes for 3 s
    Then every promise was kept
    And group0 had another primary within 3 s
    And group1 had another primary within 5 s
    And writes were served in group0 at the end
    And all groups are settled in the store's present era

  Scenario: No explored return of the store lets a former primary be proven
    # Guards against a VM that missed the lost change of primary and treats the
    # restored record as the newest.
    Then in 3000 explored restores of the store no proof outlives a promotion
    And the exploration has seen records lost, settled and replaced

  Scenario: No return of the store lets a cut off VM use a replaced primary
    # Guards against recording the former primary anew while the target that
    # was promoted, or is about to be, is not listed.
    Then in 300 explored histories with returns of the store no VM uses a replaced primary, nor with seeds 1296 and 2057

  Scenario Outline: A change under way when the store came back, <reports>
    # Guards against forgetting a change whose order to promote has been sent.
    Given a record of m0 in term 1 that the store has lost, and a change to m2
    When <reports>
    Then <primary> is recorded

    Examples:
      | reports                            | primary |
      | m0 leads term 1 and m1 agrees      | nobody  |
      | m0 leads term 1 and m2 leads it    | nobody  |
      | m2 leads term 2 and m1 agrees      | m2      |
      | m2 leads term 2 and m1 has ended   | nobody  |

  Scenario: A former primary is not recorded while entries may be lost
    # Guards against recording a primary although the entry of its successor is
    # not back yet.
    Given a leader whose list of targets may be incomplete
    Then it asks no target of an unsettled group
    When the list is complete
    Then it asks the targets of the unsettled group

  Scenario: The exploration finds a restored record that is taken as it is
    Then in 3000 explored restores a restored record used as a proof is found

  Scenario: A VM files its entry anew before it takes another proof
    # Guards against a VM that takes a proof after the store has lost its
    # entry: a change of primary waits for all other VMs, but not for this one.
    Given a VM that has stored its entry
    When the store is restored and does not answer
    Then it may take no proof
    When the store accepts its entry
    Then it may take proofs again

  Scenario: An entry that the store has lost on the way is filed again
    # Guards against an entry that the store accepted right before it was
    # restored, with an answer that arrives afterwards.
    Given a VM whose entry is accepted just before the store is restored
    Then it stores its entry again before it takes a proof

  Scenario: A change waits for the proofs of VMs that the list may lack
    # Guards against a VM that can't read the store, does not know that its
    # entry is lost, and keeps its proof while all listed VMs release theirs.
    Given a leader and 1 listed VM that releases its proof at once
    When it asks all VMs to release their proof of a primary
    Then it learns that all have released their proof
    When the store was restored 40 s ago and it asks again
    Then it does not learn of a release, but has sent the record to the VM
    When the store was restored 46 s ago and it asks again
    Then it learns that all have released their proof

  Scenario: No key runs late because the store has lost its removal
    # Guards against a restored configuration that still has the removed key
    # and counts as confirmed until the operator writes the newest one again.
    Then no explored return of the store lets a key run too late

  Scenario: No return of the store has a team counted by two VMs
    # Guards against a restored, outdated choice of quota holders: two VMs
    # would each admit the whole quota of a team.
    Then no explored return of the store leaves two VMs counting

  Scenario: The exploration finds what a return of the store could do
    Then the exploration finds a restored choice that counts as it is
    And the exploration finds a choice that is stored anew at once by anybody

  Scenario: A leaving target gets no more time because the store forgets it
    # Guards against a restored entry that lists the target as ready: when the
    # target reports again that it is leaving, its time would start again.
    Given a VM that has seen a target leave
    When the store is restored and lists the target as ready
    Then the target is still leaving, with the same deadline
    When the store still lists the target as ready 3 s later
    Then the target is no longer leaving
