Feature: Leases and primary changes hold in any order of events
  The real controllers run against in-memory fakes, while hypothesis decides
  which messages arrive when or are lost, and which process is paused or
  restarted. The seeded faults below show that the exploration can fail.

  Scenario: No order of events breaks a primary change
    # Two stewards act at once, messages cross, updates take effect after their
    # sender has timed out, targets stop in between, and an old primary returns
    # with its own log entries. No acknowledged write may be lost and no term
    # may have two primaries; only terms and majorities protect against that.
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
    # Two of three VMs leave the list at once, and one of them is cut off with
    # a connection in use. It must close the connection before the last listed
    # VM takes the whole limit. Guards against a VM that does not because it
    # treats a list of one VM as its own.
    When two VMs leave the list of three and one of them is cut off
    Then the limit of the target is kept until both are gone

  Scenario: The only VM on the list is cut off and replaced
    # Its last list has no other VM, so it can't distinguish being cut off from
    # an outage of the platform. It must stop before the VM that replaced it
    # takes the whole limit after the grace period, or the target would get
    # twice the connections that it allows.
    When the only VM on the list is cut off while another takes its place
    Then the limit of the target is kept until both are gone

  Scenario: Majorities of edited targets are known to meet or not
    # An acknowledged write is at a majority of the old targets. If a majority
    # of the new targets may lack it, the group must not change its primary.
    Then the rule for majorities agrees with all pairs of them

  Scenario: No order of events gives a lease to two VMs
    # Clocks run at different rates, answers arrive after the lease has
    # expired, renewals take effect late, the holder is paused and resumed, and
    # the platform is restored from an older copy. Two holders at once would
    # mean two stewards acting at the same time.
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
