Feature: One VM of each zone asks the leader on behalf of the others

  Scenario: The leader of hundreds of VMs answers a few
    # 195 VMs ask one leader for the same facts, 325 times a second, and
    # nearly all answers cross zones. One VM of each zone asks for all of
    # them.
    Given 195 VMs in 6 zones that ask a leader for facts
    When 10 s go by
    Then in the last 5 s the leader has answered at most 35 requests a second
    And every VM has had facts in each second

  Scenario: A relay that dies is replaced by one of those it served
    # The relay of a zone loses power. The VMs of its zone get no answer
    # from it, ask the leader at once and keep their facts; one of them
    # becomes the next relay.
    Given 195 VMs in 6 zones that ask a leader for facts
    When 5 s go by
    And the relays of all zones are lost
    And 5 s go by
    Then every VM that runs has had facts in each second
    And in the last 2 s the leader has answered at most 35 requests a second

  Scenario: A relay that only the leader still hears is left by its zone
    # In a one-way network fault, the relay reaches the leader, but the VMs
    # of its zone can't reach the relay. If they did not avoid it for a
    # while, they would ask it first each time, and wait.
    Given 195 VMs in 6 zones that ask a leader for facts
    When 5 s go by
    And the relays of all zones are cut off from their zones
    And 10 s go by
    Then every VM that runs has had facts in each second
    And each VM waited for a relay without an answer at most 2 times

  Scenario: A few VMs ask the leader themselves
    Given 9 VMs in 3 zones that ask a leader for facts
    When 5 s go by
    Then no VM serves its zone

  Scenario: A lost leader is followed by all
    # The leader is lost and another VM becomes the leader. It names new
    # relays, and no VM continues to use facts that are no longer updated.
    Given 195 VMs in 6 zones that ask a leader for facts
    When 5 s go by
    And another VM becomes the leader
    And 3 s go by
    Then every VM that runs has had facts in each second
    And in the last 1 s the leader has answered at most 35 requests a second

  Scenario: A proof that is passed on twice is as old as it was
    # Guards against: a VM treats relayed facts as new and uses the old
    # primary for longer than the change waits, so that its caller's write
    # is in no log.
    Then in 2000 explored changes with relays no proof outlives a promotion
    And a relay that omits ages is found in 2000 explored changes
