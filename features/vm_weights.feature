Feature: Large VMs take more of their zone's shared work

  Scenario Outline: The scarcer of processor and link decides the weight
    # Guards against: a VM with a fast processor behind a thin link, or one
    # whose resources are unknown, gets the work of a large VM.
    Then a VM of <share> cores of speed <speed> and <link> Mbit/s has weight <weight>

    Examples:
      | share | speed | link    | weight |
      | 0.516 | 1     | 5       | 1      |
      | 2.15  | 1     | 100     | 4      |
      | 2.15  | 1     | 10      | 2      |
      | 1     | 2     | 1000    | 4      |
      | 64    | 1     | 1000    | 16     |
      | 0.1   | 1     | 1       | 1      |
      | 2.15  | 1     | unknown | 1      |

  Scenario: Large VMs hold their part of the targets
    # Guards against: the statements of a zone for several targets run on VMs
    # of half a core while VMs of four times that hold none. The share in one
    # zone is that of 120 independent draws with probability 0.4, so it is
    # within 0.31 and 0.49 in 19 of 20 zones, and nearly always within 0.22
    # and 0.58 (4 standard deviations).
    Given 40 zones of 2 VMs of weight 4 and 12 of weight 1
    Then on average the large VMs hold 0.38 to 0.42 of 120 targets
    And in each zone the large VMs hold 0.22 to 0.58 of 120 targets
    And no other VM holds more than 3 times its share of 120 targets

  Scenario: The loss of a VM moves only what it held
    # Guards against: the loss of one VM closes the connections of holders
    # that remain.
    Given a zone of 2 VMs of weight 4 and 12 of weight 1
    Then the loss of any VM moves none of 120 targets that it does not hold

  Scenario: VMs of equal weight hold what they held without weights
    # Guards against: enabling load control moves all targets of VMs that are
    # equal, or a VM with an extreme hash has no score.
    Then VMs of weight 1 or 7 alone are ranked as without weights for 500 targets

  Scenario: A zone of few VMs
    # Guards against: weights apply in a zone that is too small for holders,
    # or a large VM alone is expected to hold everything.
    Given a zone of 1 VMs of weight 16 and 3 of weight 1
    Then all its VMs agree on one holder for each of 120 targets
    When a VM of the zone is lost
    Then all its VMs use their own connections for 120 targets

  Scenario: A large holder that does not answer is passed over
    # Guards against: the statements of a zone wait for a large VM that was
    # lost, since it is first for most targets.
    Given a zone of 2 VMs of weight 4 and 12 of weight 1
    Then a VM whose large holder failed asks the next one for 3 s

  Scenario: VMs with different lists use two holders
    # Guards against: a VM that has not heard of a weight yet refuses to be a
    # holder, or sends to a VM that is not in its list.
    Given a zone of 2 VMs of weight 4 and 12 of weight 1
    Then a VM that knows no weights names holders of the zone

  Scenario: Lists of VMs with and without weights are read
    # Guards against: a VM of an older release fails on a row of three, or its
    # digest never equals the relay's, so that each answer carries the list.
    Then a list for an older VM has rows of two and means weight 1
    And a list for a VM with weights has rows of three where the weight is not 1
    And weights outside 1 to 16 in a list are bounded

  Scenario Outline: A relay passes weights on to VMs that state one
    # Guards against: a VM of an older release in the zone ends the relay's or
    # its own use of the list; a VM without load control takes part in weights.
    Given a relay of weight 4 with load control <state>
    When VMs of stated weights 0, 1, 3 and 40 ask it for 2 s
    Then the relay knows the weights <known>
    And the VM of stated weight 0 gets the weights 1, 1, 1, 1, 1
    And the VM of stated weight 3 gets the weights <known>
    And a VM that has the newest list does not get it again

    Examples:
      | state | known          |
      | on    | 1, 1, 3, 4, 16 |
      | off   | 1, 1, 1, 1, 1  |

  Scenario: A VM that returns with another weight is listed once
    # Guards against: a VM that was replaced by a larger one of its name is
    # ranked twice until its first entry ends.
    Then a VM that asks a relay with weight 1 and then 4 is listed with 4 only

  Scenario: The largest VM of each zone is its relay
    # Guards against: a VM of half a core answers its whole zone while a VM
    # of four times that has nothing to do.
    Given 84 VMs in 3 zones, 2 in each of weight 4, ask a leader for facts
    When 5 s go by
    Then the relays have weight 4 in all 3 zones
    And every VM has had facts in each second
    And in the last 1 s the leader has answered at most 20 requests a second

  Scenario: A lost large relay is replaced by the other large VM
    # Guards against: the VMs that notice the loss first are named at once, so
    # that the large VM that is left is never asked; the leader waits for all
    # VMs again although it knows that none has more weight.
    Given 84 VMs in 3 zones, 2 in each of weight 4, ask a leader for facts
    When 5 s go by
    And the relays of all zones are lost
    And 1.2 s go by
    Then the relays have weight 4 in all 3 zones
    And every VM that runs has had facts in each second
    When the relays of all zones are lost
    And 4 s go by
    Then the relays have weight 1 in all 3 zones
    And every VM that runs has had facts in each second

  Scenario: A large VM that starts later does not replace the relay
    # Guards against: relays change with each VM that starts, and each change
    # leaves the zone without its list of VMs for seconds.
    Given 84 VMs in 3 zones, 2 in each of weight 4, ask a leader for facts
    And the VMs of weight 4 have not started
    When 5 s go by
    Then the relays have weight 1 in all 3 zones
    When the VMs of weight 4 start
    And 5 s go by
    Then the relays are the same as before
    And in the last 1 s the leader has answered at most 20 requests a second

  Scenario: A relay that only the leader hears is not replaced by a large VM
    # Guards against: while a fault makes all VMs of a zone ask the leader,
    # it names one large VM after the other beside a relay that still asks.
    Given 84 VMs in 3 zones, 2 in each of weight 4, ask a leader for facts
    And the VMs of weight 4 have not started
    When 5 s go by
    And the VMs of weight 4 start
    And 2 s go by
    And the relays of all zones are cut off from their zones
    And 4 s go by
    Then the relays are the same as before

  Scenario: A zone of few VMs has no relay
    Given 9 VMs in 3 zones, 1 in each of weight 4, ask a leader for facts
    When 5 s go by
    Then no VM serves its zone

  Scenario: Large holders are lost in the middle of the load
    # Guards against: statements are lost or refused while the targets of a
    # large VM move to others.
    Given 84 VMs in 3 zones, 2 in each of weight 16, before a target of 4 slots and 56 connections
    Then a VM of weight 16 holds the target in 1 zone or more
    When reads of 18 ms arrive at 110 a second for 4 s
    Then at least 0.99 of them are served
    When the VMs of weight 16 are lost after 2 s of reads of 18 ms at 80 a second for 5 s
    Then at least 0.97 of them are served

  Scenario: Weights change in the middle of the load
    # Guards against: VMs that know different weights refuse each other's
    # statements. Every second VM learns the weights 2 s after the others.
    Given 84 VMs in 3 zones, 2 in each of weight 4, before a target of 4 slots and 56 connections
    When every second VM knows no weights for 2 s of reads of 18 ms at 110 a second for 5 s
    Then at least 0.99 of them are served

  Scenario: The metrics show this VM's weight and how many targets it holds
    # Guards against: an operator can't see which VMs hold most targets.
    Then the metrics of a VM of weight 4 that holds 2 of 3 targets show 4 and 2
