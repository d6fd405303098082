Feature: One VM of each zone asks the leader on behalf of the others

  Scenario: The leader of hundreds of VMs answers a few
    # 195 VMs ask one leader for the same facts, 325 times a second, and nearly
    # all the answers go from zone to zone. A VM of each zone asks for all.
    Given 195 VMs in 6 zones that ask a leader for facts
    When 10 s go by
    Then in the last 5 s the leader has answered at most 35 questions a second
    And every VM has had facts in each second

  Scenario: A relay that dies is replaced by one of those it served
    # The relay of a zone loses power. Its zone's VMs have no answer from it,
    # ask the leader at once and keep their facts; one of them is named next.
    Given 195 VMs in 6 zones that ask a leader for facts
    When 5 s go by
    And the relays of all zones die
    And 5 s go by
    Then every VM that runs has had facts in each second
    And in the last 2 s the leader has answered at most 35 questions a second

  Scenario: A relay that only the leader still hears is left by its zone
    # A one-way cut: the relay hears the leader, but none of its zone hears it.
    # Without a pause they would ask it first each time, and wait.
    Given 195 VMs in 6 zones that ask a leader for facts
    When 5 s go by
    And the relays of all zones are cut off from their zones
    And 10 s go by
    Then every VM that runs has had facts in each second
    And a relay was waited for in vain at most 2 times by each VM

  Scenario: A few VMs ask the leader themselves
    Given 9 VMs in 3 zones that ask a leader for facts
    When 5 s go by
    Then no VM serves its zone

  Scenario: A lost leader is followed by all
    # The leader dies and another VM leads. Relays are named anew by it, and no
    # VM goes on with facts that nobody renews.
    Given 195 VMs in 6 zones that ask a leader for facts
    When 5 s go by
    And another VM takes the lead
    And 3 s go by
    Then every VM that runs has had facts in each second
    And in the last 1 s the leader has answered at most 35 questions a second

  Scenario: A proof that is passed on twice is as old as it was
    # A VM takes facts that are passed on for new ones, uses the old primary for
    # longer than the change waits, and its caller's write is in nobody's log.
    Then in 2000 explored changes with relays no proof outlives a promotion
    And a relay that tells no age is found in 2000 explored changes
