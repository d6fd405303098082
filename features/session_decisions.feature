Feature: Sessions are fresh, and no replaced primary is used

  Scenario: No use of a primary outlives its promotion's wait
    # Guards against a VM that still uses the old primary when the new one is
    # promoted. It is cut off from the store and from the leader: a write
    # through it is lost, and its reads miss commits that others have seen.
    Then in 400 explored changes no proof outlives a promotion
    And the exploration has seen promotions, lost answers and takeovers by two

  Scenario: A change that any VM may end keeps that promise too
    # The leader orders a promotion and fails. One VM records the promoted
    # target while another takes the lease and continues the change on its own.
    # If it ordered another target under the same record, both targets would be
    # used, and callers of one VM would not see the writes of another.
    Then in 4000 explored changes that any VM may finish no proof outlives a promotion
    And the exploration has seen changes that other VMs finished

  Scenario: The exploration finds an end that does not ask whether it came late
    Then finishing a change without a version check is found in 4000 explored changes

  Scenario: Only the target that the record names ends a change
    Given a change of term 3 under way whose record names m1
    Then m1 leading term 4 ends it
    And m1 leading term 3 does not end it, nor does m2 leading term 4
    And nothing ends a change whose record names nobody

  Scenario: A target that an earlier order has promoted is not the new primary
    # Guards against recording a target that was ordered before the candidate,
    # and was out of reach, while the candidate leads a later term.
    Given a change under way whose record of term 1 names m2
    When a leader takes it up, and m1 leads term 2 and m2 is silent
    Then no primary is recorded
    When m2 leads term 3
    Then m2 is recorded as the primary of term 3

  Scenario: Few VMs look after a change, and not before its leader should be done
    Given a change seen at 10.0
    Then it is not overdue at 10.7 and is overdue at 10.9
    And of 480 VMs about 4 check it, of 3 all do

  Scenario: A promotion names its target first
    # The survey found m2 ahead, so the intent names m2. Once the proofs are
    # released m1 has received more, and the record must be stored again with
    # m1 before m1 is promoted.
    Given a change whose intent names m2 and whose proofs are released
    When m1 reports a later position than m2
    Then the record is stored with m1 before m1 is promoted

  Scenario: The exploration finds a change that does not wait
    # The same simulations without the wait: shows that the check can fail.
    Then a change that promotes at once is found in 200 explored changes

  Scenario: The exploration finds a change that has no replica hold the term
    # A VM that can't read the store asks the other targets. If none of them
    # holds the next term, all of them confirm the old one.
    Then a change that has no term held is found in 400 explored changes

  Scenario: A change keeps what a synchronous replica has received
    # Guards against promoting a replica that lacks acknowledged commits while
    # the only other one, which has them, reports late.
    Then in 300 explored changes with a synchronous replica no acknowledged commit is lost

  Scenario: A change keeps what only a leaving replica has received
    # Guards against leaving a replica out of the choice because it leaves,
    # although no other one has all acknowledged commits (review/5).
    Then in 300 explored changes with leaving replicas no acknowledged commit is lost
    And in 100 or more of them a leaving replica was promoted

  Scenario: A failed primary is replaced although all replicas leave
    # Guards against a group without a primary while a leaving replica could
    # serve until there is a new one.
    Then in 300 explored changes without synchronous replicas leaving ones leave none without a primary

  Scenario: A change keeps what a replica has that the platform refused
    # Guards against leaving a replica out of the choice because one order to
    # promote it was refused, although it runs.
    Then in 300 explored changes with refused orders no acknowledged commit is lost

  Scenario: A platform that is busy refuses no target
    # Guards against trying the other replicas in turn, without a pause, while
    # the platform answers every order with 503.
    Then these answers to an order to promote mean
      | status | result   |
      | 200    | accepted |
      | 409    | refused  |
      | 404    | refused  |
      | 429    | not_sent |
      | 500    | not_sent |
      | 503    | not_sent |

  Scenario Outline: With <sync> synchronous replicas, a primary that <fate>
    # Guards against promoting a leaving target, which is soon replaced again,
    # where another one loses nothing.
    Given m1 at <staying> and m2 at <leaving>, which is leaving
    When m0 at 7 <fate> in a group with <sync> synchronous replicas
    Then the change first names <named>

    Examples:
      | sync | fate      | staying | leaving | named |
      | 0    | has ended | 5       | 7       | m1    |
      | 1    | has ended | 5       | 7       | m2    |
      | 1    | has ended | 7       | 7       | m1    |
      | 0    | has ended | -       | 7       | m2    |
      | 0    | leaves    | -       | 7       | none  |
      | 1    | leaves    | -       | 7       | none  |
      | 0    | leaves    | 5       | 7       | m1    |
      | 1    | leaves    | 5       | 7       | m1    |

  Scenario: A leaving target with more than the primary has is not preferred
    # Guards against promoting a leaving former primary for entries that it
    # never passed on, so that the group changes its primary once more.
    Given m1 at 5 and m2 at 8, which is leaving
    When m0 at 7 leaves in a group with 1 synchronous replicas
    And all VMs have released their proofs, and m1 is at 7
    Then m1 is promoted

  Scenario Outline: A change waits for a replica that may have more commits
    # Guards against promoting a replica that lacks acknowledged commits since
    # the only other one reports late, or is busy (review/1).
    Given <cause> change in a group with <sync> synchronous replicas
    When m1 reports at once and m2 reports at <time> s with more
    Then the change names <named> at <moment> s

    Examples:
      | cause       | sync | time | named | moment |
      | a necessary | 1    | 0.9  | m2    | 0.9    |
      | a necessary | 1    | 3.0  | none  | 2.0    |
      | a necessary | 0    | 0.9  | m1    | 0.5    |
      | a planned   | 1    | 0.4  | m2    | 0.4    |
      | a planned   | 1    | 0.9  | none  | 0.5    |
      | a planned   | 0    | 0.9  | m1    | 0.5    |

  Scenario: A replica that has not reported is asked again
    # Guards against waiting for a report that was never asked for again, since
    # the first question found no slot.
    Given a necessary change in a group with 1 synchronous replicas
    When m1 reports at once and m2 is busy
    Then m2 is asked again, once for each missing report
    When m2 has left and m3 is new
    Then m3 is asked, and its report is enough

  Scenario: A planned change is made at the replica that is not behind
    # Guards against a planned change that ends at the target it first named,
    # although that one has received nothing for a while.
    Given m1 at 5 and m2 at 7, which is leaving
    When m0 at 7 leaves in a group with 1 synchronous replicas
    And all VMs have released their proofs, and m1 is at 5
    Then m2 is named before it is promoted

  Scenario: The exploration of synchronous replicas reaches its faults
    Then in 300 explored changes replicas were deaf, reported late and were promoted
    And without a synchronous replica promotions lost commits

  Scenario: No read is older than its route accepts
    # Guards against a read at a replica that lacks a commit older than the
    # staleness that the route accepts.
    Then in 400 explored histories no read lacks what it must see
    And most explored reads ran at replicas

  Scenario: A read without any young sample goes to the primary
    Given a group with a primary and two replicas
    And a sample of position 7 taken at 10.0
    When a read that accepts 1.5 s comes at 11.2
    Then it goes to a replica that must have position 7
    When a read that accepts 1.5 s comes at 11.6
    Then it goes to the primary without a position

  Scenario: The oldest sample that is young enough is asked for
    # Replicas lag by a second. If reads required the newest position, replicas
    # would refuse even reads that accept two seconds, and all reads would go
    # to the primary.
    Given a group with a primary and two replicas
    And a sample of position 7 taken at 10.0
    And a sample of position 9 taken at 11.0
    When a read that accepts 1.5 s comes at 11.3
    Then it goes to a replica that must have position 7
    When a session that wrote position 9 reads at 11.3
    Then it goes to a replica that must have position 9

  Scenario: Replicas that lag by seconds are not asked again and again
    # Both replicas lag by six seconds and reads accept 1.5. Guards against
    # each read being refused by both replicas before it goes to the primary,
    # where it waits again.
    Given a group with a primary and two replicas
    And a sample of each 0.1 s, and replicas that lag by 6 s
    When 20 reads a second that accept 1.5 s come for 5 s
    Then each replica was asked at most 6 times
    When the replicas lag by 1.0 s from now on
    And 20 reads a second that accept 1.5 s come for 3 s
    Then after the first 1.1 s all reads ran at replicas

  Scenario: A replica that lags a little too much is asked when it can be there
    Then a replica whose position is 0.3 s too old is skipped for 0.3 s
    And one whose position is 20 s too old is skipped for 1.0 s

  Scenario: A replica that was behind is passed over for a while
    Given a group with a primary and two replicas
    And a sample of position 7 taken at 10.0
    And both replicas were behind at 10.1
    When a read that accepts 1.5 s comes at 10.1
    Then it goes to the primary with position 7

  Scenario: Nothing goes to a primary whose proof has lapsed
    Given a group with a primary and two replicas
    When a write comes 1.9 s after the proof
    Then it goes to the primary without a position
    When a write comes 2.1 s after the proof
    Then it is refused because of primary_changed

  Scenario: A leaving primary is used for a part of its time only
    Given a group with a primary and two replicas
    And the primary may be used until 10.5
    When a write comes 0.4 s after the proof
    Then it goes to the primary without a position
    When a write comes 0.6 s after the proof
    Then it is refused because of target_leaving

  Scenario: A VM off the list takes no proofs
    # A VM that could not renew its entry for long may have been removed from
    # the list of VMs that a change of primary asks to release their proofs.
    Given a VM whose entry was stored at 100.0
    Then it may take proofs at 144.0
    And it may not take proofs at 146.0

  Scenario: A VM that starts again replaces its old entry at once
    # Callers wait while a VM starts. A delay after the conflict with the entry
    # of its earlier process makes the start 0.3 s longer.
    Given a VM whose entry exists at version 41
    When it stores its entry
    Then the second attempt follows at once and replaces version 41

  Scenario: An opening is held while the VM learns, and refused after a second
    # The VM has just started and has no configuration, or no record of the
    # group. Callers wait briefly; after a second they are refused with a retry
    # time, because other VMs may be ready by then.
    Given a VM that has just started and knows nothing
    Then an opening waits for 1.0 s and is then refused with a retry time
    And one for a group without a record waits for the first 3.0 s only
    And one for an unknown database is refused at once

  Scenario: Urgent statements go before all others
    # All reads go to the primary. Guards against writes that wait behind them
    # although their route has precedence.
    Given an admission with 1 slot and room for 64
    When caller one asks for 6 statements with 5000 ms left
    And caller two sends an urgent statement with 5000 ms left
    Then caller two runs after at most 1 others

  Scenario: A target whose connections are used up is not asked again at once
    # After all VMs lost power a target still counts their connections for
    # seconds and refuses new ones. Attempts every 10 ms cause 4,000 refusals a
    # minute.
    Given at most 4 connections with one opened per 5 ms
    When the target is full at 1.0
    Then none is opened before 1.04
    And idle ones are closed after 0.3 s until 6.0

  Scenario: A connection with the session's values is preferred
    Given idle connections with the values lang=1, none, lang=2
    When a session with the values lang=2 takes one
    Then it gets the one with lang=2
    When a session with the values zone=3 takes one
    Then it gets the one with none
    And a session with no values clears the one with lang=1 first

  Scenario: A statement waits for the end of a change if that is in its time
    # Guards against callers that are refused during a change, retry at once,
    # and use up their retries long before there is a new primary.
    Given a change of primary seen at 10.0 that takes 1.3 s
    Then a statement of 10.5 with 1 s waits until 11.5
    And a statement of 10.1 with 1 s is refused at once, with a retry after 1.2 s
    And a statement of 11.7 with 1 s does not wait when overdue

  Scenario: A stopping VM leaves sessions at work to their work
    # The platform notices late that a VM stops, so disconnected callers
    # reconnect to it. Idle sessions are closed first, the longest idle ones
    # before the others.
    Given sessions that were used 5.0, 1.0 and 0.1 s ago
    Then a VM that has been stopping for 2.3 of 6 s disconnects the first two
    And after 2.5 s it disconnects all three

  Scenario: Sessions at rest are closed a few at a time
    Then 40 idle sessions are closed evenly over the first 2.4 s of 6 s

  Scenario: Those who waited for a change are not refused in its last moment
    # The record of a new primary arrives from another VM and is not a proof;
    # the proof takes one more call. Guards against refusing, in those 10 ms,
    # callers that have waited a second for the change.
    Given a primary that was recorded at 20.0 and is not proven yet
    Then a proof is due until 20.4
    And none is due once it is proven

  Scenario: What goes before others is known without a look at all routes
    # With thousands of routes, checking all of them for each statement delays
    # statements.
    Given a catalog of 3000 routes of urgency 2 and one of urgency 1
    Then only that one is urgent, and 20000 lookups take less than 1 s
