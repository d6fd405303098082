Feature: Leases and primary changes hold in any order of events
  The real controllers run against fakes in memory, while hypothesis decides
  which message arrives when, which is lost, and who is paused or restarted.
  The faults seeded below show that the exploration can fail.

  Scenario: No order of events breaks a primary change
    # Two stewards lead at once, messages cross, updates land after their
    # sender has given up, targets stop halfway, an old primary returns with
    # entries of its own. No acknowledged write may be lost and no term may
    # have two primaries, because terms and majorities alone protect them.
    When primary changes are explored
    Then the exploration of primary changes finds nothing

  Scenario Outline: The exploration catches the seeded fault <fault>
    When primary changes are explored with the fault <fault>
    Then the exploration of primary changes finds it

    Examples:
      | fault                            |
      | skip_fence                       |
      | promote_with_minority_fenced     |
      | promote_first_that_answers       |
      | trust_unanswered_update          |
      | promote_another_at_same_term     |
      | take_other_stewards_term_for_own |
      | acknowledge_without_majority     |
      | count_unmatched_replica          |

  Scenario: What longer explorations found stays solved
    # Of three VMs two leave the list at once, and one of them is cut off with
    # a connection in use. It must close it before the last VM on the list
    # takes the whole limit; it did not, as it held a list of one for its own.
    When two VMs leave the list of three and one of them is cut off
    Then the limit of the target is kept until both are gone

  Scenario: The only VM on the list is cut off and replaced
    # Its last list names nobody but itself, so it hears nobody in any case and
    # can't tell this from an outage of the platform. Were it to go on, the one
    # that replaced it would take the whole limit once the grace time is over,
    # and the target would get twice what it allows. It stops before.
    When the only VM on the list is cut off while another takes its place
    Then the limit of the target is kept until both are gone

  Scenario: Majorities of edited targets are known to meet or not
    # An acknowledged write is at a majority of the old targets. If a majority
    # of the new ones could miss it, the group must not change its primary.
    Then the rule for majorities agrees with all pairs of them

  Scenario: No order of events gives a lease to two VMs
    # Clocks run at different rates, answers come after the lease has lapsed,
    # renewals land late, the holder is paused and wakes, the platform comes
    # back from an older copy. Two holders at once would mean two stewards at
    # work for as long as both believe it.
    When leases are explored
    Then the exploration of leases finds nothing

  Scenario Outline: The exploration of leases catches the seeded fault <fault>
    When leases are explored with the fault <fault>
    Then the exploration of leases finds it

    Examples:
      | fault                      |
      | ignore_lease_margin        |
      | count_lease_from_answer    |
      | take_lease_too_early       |
      | trust_unanswered_renewal   |
      | renew_lease_of_earlier_era |
      | take_lease_of_earlier_era  |
