Feature: An accepted edit is in force everywhere, promptly and for good
  Real VM processes, with the platform behind links of the fault proxy.

  Scenario: Two operators edit the same cell at the same moment
    # Both have read the row and send their edits through different VMs. One is
    # accepted. The other's conditional update fails; its VM reads the row
    # again, finds it changed and reports by whom. Nothing is overwritten.
    Given a fleet of 3 VMs for operators
    When two operators race on the same cell 10 times
    Then in each race one edit is accepted and the other overtaken
    And each loser is shown the winner's change
    And the history holds the 10 accepted edits and no other

  Scenario: Two operators edit different rows of one shard
    # The rows are in one object at the platform, so one conditional update
    # fails. Neither row has changed since its author read it, so the VM retries
    # on top of the other update, and both are accepted.
    Given a fleet of 3 VMs for operators
    When two operators race on different rows of one shard 10 times
    Then all 20 edits of the races are accepted
    And both rows hold the last edit of their operator

  Scenario: The platform's answer is lost after the edit has taken effect
    # The update is stored, but its answer is lost. The VM reads back, finds the
    # edit in the history and reports it as accepted, once.
    Given a fleet of 3 VMs for operators
    When an operator edits a row and the platform's answer is lost
    Then the operator is told that the edit is accepted
    And the history holds the edit once

  Scenario: The answer is lost and the platform is down when read back
    # The update is stored, its answer is lost, and then the platform fails for
    # three seconds. The VM must not report anything before it has read back.
    Given a fleet of 3 VMs for operators
    When an operator edits a row, the answer is lost and 3 s of outage follow
    Then the operator is told that the edit is accepted
    And the history holds the edit once

  Scenario: An edit that is found stored is accepted, whatever else fails
    # The update's answer is lost. The read back finds the edit in the history,
    # but the read of the group at the same time is not answered before the
    # retry timeout of an edit without unanswered updates. The edit is complete:
    # an operator told that a part is missing would search for it in vain.
    Then an edit found stored is accepted while the group is not answered

  Scenario: An edit during an outage of the platform is refused as such
    # Nothing can be stored, and no update that could still be stored was sent.
    # The operator is told within seconds that nothing has changed.
    Given a fleet of 3 VMs for operators
    When an operator edits a row while the platform is down
    Then the operator is told that the platform is unavailable
    And the row is as it was

  Scenario: Bad edits are refused with row and column
    Given a fleet of 3 VMs for operators
    Then these edits are refused with their cells named
      | cells                               | column          | message                 |
      | read_weights={old:60,new:30}        | read_weights    | add up to 90            |
      | read_weights={old:60,newer:40}      | read_weights    | unknown site 'newer'    |
      | read_weights={old:101,new:-1}       | read_weights    | less than or equal      |
      | read_wights={old:100}               | read_wights     | is 'read_weights' meant |
      | max_slots=true                      | max_slots       | valid integer           |
      | max_slots=99                        | max_slots       | more than any target    |
      | max_staleness_ms=-1                 | max_staleness_ms | greater than or equal  |
      | leaving_targets=ledger-m9           | leaving_targets | unknown target          |
      | leaving_targets=ledger-m1,ledger-m2,ledger-m3 | leaving_targets | no target would be left |
    And an edit of an unknown group is refused with its row named
    And a file with a bad cell is refused with its line
    And an edit that sends work only to a target that is down is refused

  Scenario: An accepted edit is in force on all nine VMs
    # One operator edits ten times through changing VMs. Each edit reaches every
    # VM within 8 s (in an idle fleet it takes a fraction of a second).
    Given a fleet of 9 VMs whose versions in force are observed
    When an operator makes 10 edits through changing VMs
    Then each was in force on all VMs within 8 s
    And no VM ever went back to a lower version

  Scenario: An edit stays in force when VMs freeze, restart and lag
    # A VM is frozen during an edit and resumes while the platform is down, with
    # an old table. Another VM restarts in the outage and gets its state only
    # from peers. A third, which watches the platform for the fleet, receives an
    # answer late that is older than the last edits. None may bring an old
    # version back, and all must get the newest.
    Given a fleet of 9 VMs whose versions in force are observed
    When an operator makes 2 edits through changing VMs
    And the answers of the platform to one watcher are held back
    And another VM is frozen
    And an operator makes 3 edits through changing VMs
    And the platform goes down
    And the frozen VM wakes and a third VM is killed and started again
    And the answers held back arrive
    Then the last edit is in force on all VMs within 15 s
    And no VM ever went back to a lower version

  Scenario: An edit whose VM is lost is found though connections are silent
    # Guards against watches that wait too long on connections that have gone
    # silent, while no VM is left that announces the edit. In a fleet of five
    # all VMs are watchers, and none checks the platform besides.
    Given a fleet of 5 VMs whose versions in force are observed
    When an operator makes 2 edits through changing VMs
    And all connections to the platform go silent and an edit is stored there
    Then the last edit is in force on all VMs within 8 s

  Scenario: Reads shift from the old site to the new one under load
    # Callers read, write and run transactions through all VMs while an
    # operator shifts the weight of reads in four steps. No request and no
    # transaction is cut, and at the end the new site serves the reads.
    Given a fleet of 9 VMs under load
    When the weight of reads shifts from the old site to the new in 4 steps
    Then no request of the load was cut
    And reads of sessions without writes are served at the new site

  Scenario: The primary shifts to the new site under load
    # An operator gives the new site the whole weight of writes. The steward
    # changes the primary. Writes wait at their holders until then, and no
    # request and no transaction is cut.
    Given a fleet of 5 VMs under load
    When the weight of writes shifts from the old site to the new
    Then within 15 s the primary is at the new site
    And no request of the load was cut

  Scenario: Versions stay monotonic under any order of messages
    # Generated runs of the real controllers: edits, messages delivered late,
    # twice or never, watches that lag, restarts, outages.
    Then in 200 generated runs no version ever falls at a live process
    And after each run with all faults over every process has every edit

  Scenario: Operators are told the truth in any order of answers
    # Generated races of edits of one row over a platform that applies updates
    # late, in any order, and loses answers, while targets fail and recover.
    Then in 1000 generated races every report is true in the end

  Scenario: Neighbours that have the same versions tell none
    # The cost of an idle fleet: a digest each way, no versions, no requests.
    Given two VMs of which the first compares with the second
    When they have the same versions and the first compares
    Then no versions and no facts were sent

  Scenario Outline: A comparison brings what an announcement did not
    # An edit is accepted and its announcement is lost. Callers of one VM see the
    # old weights until versions are compared. Only one of the two VMs asks the
    # other, so its comparison must bring changes in both directions.
    Given two VMs of which the first compares with the second
    When <newer> without an announcement and the first compares
    Then both have the newest of everything

    Examples:
      | newer                                       |
      | the first has a newer shard                 |
      | the second has a newer shard                |
      | each of the two has a newer shard           |
      | the first has a newer list of VMs           |
      | the second has a newer list of VMs          |
      | the second has nothing at all               |

  Scenario: A neighbour of an earlier release is told all versions
    # During an upgrade a fleet has VMs of two releases. An older one sends no
    # digest and compares the versions in the answer, which must contain them.
    Given two VMs of which the first compares with the second
    When a neighbour that knows no digest compares with the first
    Then the answer tells all versions
