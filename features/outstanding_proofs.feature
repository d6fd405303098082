Feature: No proof of a replaced primary is renewed, whatever targets a VM knows

  Scenario: VMs that are cut off do not use a replaced primary
    # Guards against a VM without the store and other VMs that proves its
    # primary by the targets that it knows, while only a target that has joined
    # since knows of the change (review/4).
    Then in 500 explored histories of targets no VM uses a replaced primary
    And the exploration has seen targets join, leave, restart and hold terms

  Scenario Outline: The exploration finds that <fault>
    Then the exploration finds in 1000 histories that <fault>

    Examples:
      | fault                                           |
      | an expired proof is renewed                     |
      | a target without a report counts as gone        |
      | the primary is not asked                        |
      | any target that holds the term counts for a VM  |
      | held terms are not verified before a promotion  |
      | a change waits for 1 s                          |

  Scenario: A proof that has expired is not renewed by targets
    # Guards against a VM that takes a new proof from targets which have
    # restarted in the meantime and forgotten the term that they held.
    Given a VM that is cut off from the store and other VMs
    When 6 s go by for it
    Then it proves its primary
    When m1 is silent to it for 3 s
    And 5 s go by for it
    Then it does not prove its primary
    When it reaches the store again
    And 2 s go by for it
    Then it proves its primary

  Scenario Outline: A target that <state> and refuses connections
    # Guards against taking a refused connection for the end of a target that
    # holds a later term. Only one that was leaving is taken for ended.
    Given a VM that is cut off from the store and other VMs
    When it knows that m1 <state> and m1 refuses its connections
    And 5 s go by for it
    Then it <proves> its primary

    Examples:
      | state  | proves         |
      | stays  | does not prove |
      | leaves | proves         |

  Scenario: A primary that has stepped down is not proven
    # Guards against reads at a former primary by a VM that knows none of the
    # targets that hold the term of the change.
    Given a VM that is cut off from the store and other VMs
    When m0 steps down
    And 3 s go by for it
    Then it does not prove its primary

  Scenario Outline: A proof that another VM passes on, <age> s old
    # Guards against a VM that has no proofs until the store is back, since its
    # own have expired while it was frozen.
    Given a VM that is cut off from the store and other VMs
    And its proof has expired
    When another VM passes on its proof of <record> that is <age> s old
    Then it <proves> its primary
    When 1 s go by for it
    Then it <later> its primary

    Examples:
      | record        | age | proves         | later          |
      | the primary   | 0.5 | proves         | proves         |
      | the primary   | 1.5 | proves         | proves         |
      | the primary   | 2.1 | does not prove | does not prove |
      | a former term | 0.5 | does not prove | does not prove |

  Scenario: A VM that other VMs ask renews its proofs more often
    # Guards against passing on proofs that are nearly over, so that all VMs ask
    # all targets while the store is away.
    Given a VM that is cut off from the store and other VMs
    When 4 s go by for it
    And it is asked for its proofs for 6 s
    Then they are never older than 0.8 s

  Scenario: A list of targets never gets older
    # Guards against a relayed list that is older than the one a VM has, and
    # than the one that its entry shows.
    Given a VM with a list of version 20
    When a list of version 15 without m1 is relayed to it
    Then it still knows m1, of version 20
    When a list of version 25 without m1 is relayed to it
    Then it has a list of version 25

  Scenario: A list of an unknown version is not relayed
    # Guards against a list from a VM of an older release, which may be older.
    Given a VM with a list of version 20
    When a list of version 0 without m1 is relayed to it
    Then it still knows m1, of version 20
    And it goes on reading the list itself

  Scenario: An entry shows soon that its VM knows new targets
    # Guards against a change that can't tell whether a VM knows any of its
    # targets, since all have joined after the VM has renewed its entry.
    Given a VM whose entry shows a list with m0, m1 and m2
    When m1 is replaced by m3
    Then the entry is not renewed within 5 s
    When m2 is replaced by m4
    Then the entry is renewed within 4 s and shows m3 and m4

  Scenario Outline: A VM with a list of version <list>, and a primary that <state>
    # Guards against a promotion while a VM that knows none of the targets that
    # hold the term may go on proving the primary.
    Given m1 listed since 30 and m2 listed since 40, and vm1 with a list of <list>
    When m0 <state> and is to be replaced
    Then <holders> hold the term
    And m0 is told to step down <when>
    And the promotion is ordered <moment>

    Examples:
      | list | state    | holders   | when     | moment       |
      | 50   | leaves   | m1        | never    | after 2.1 s  |
      | 30   | leaves   | m1        | never    | after 2.1 s  |
      | 20   | leaves   | m1        | at 0.5 s | after 2.6 s  |
      | 0    | leaves   | m1        | at 0.5 s | never        |
      | 50   | has died | m1        | never    | after 2.1 s  |
      | 20   | has died | m1        | never    | never        |

  Scenario: A candidate that a VM knows holds the term too
    # Guards against a wait for a VM that knows no target but the candidate,
    # which has nothing to receive from a primary that has died.
    Given m1 listed since 30 and m2 listed since 10, and vm1 with a list of 20
    When m0 has died and is to be replaced, and m2 is ahead
    Then m1 and m2 hold the term
    And the promotion is ordered after 2.1 s

  Scenario: A VM that has released its proof is not waited for
    Given m1 listed since 30 and m2 listed since 40, and vm1 with a list of 20
    When m0 has died and is to be replaced
    And vm1 releases its proof after 5 s
    Then the promotion is ordered after 5.0 s

  Scenario: A proof that was passed on before its VM was asked is waited for
    # Guards against a promotion while a VM uses a proof of another VM that has
    # released its own in the meantime.
    Given m1 listed since 30 and m2 listed since 40, and vm1 with a list of 50
    When m0 has died and is to be replaced, and vm2 with a list of 20
    And vm2 releases its proof after 1 s
    Then the promotion is ordered after 3.1 s

  Scenario: A term that its holder has lost is waited for again
    # Guards against a promotion while VMs have renewed their proofs since the
    # holder restarted.
    Given m1 listed since 30 and m2 listed since 40, and vm1 with a list of 50
    When m0 leaves and is to be replaced
    And m1 restarts after 1.0 s
    Then the promotion is ordered after 4.2 s

  Scenario: A primary that is one again is waited for again
    # Guards against a promotion while VMs have renewed their proofs since the
    # primary that had stepped down restarted.
    Given m1 listed since 30 and m2 listed since 40, and vm1 with a list of 20
    When m0 leaves and is to be replaced
    And m0 restarts after 1.0 s
    Then the promotion is ordered after 4.7 s

  Scenario: A VM that has started anew holds no proof
    # Guards against a change that waits for an earlier process of a VM.
    Given a change that waits for vm1, which does not answer
    When vm1 is listed with another process
    Then all proofs have been released within 3 s

  Scenario: A VM that renews its entry no more holds no proof after a while
    # Guards against a change that waits for a VM until its entry is removed.
    Given a change that waits for vm1, which does not answer
    When vm1 does not renew its entry
    Then no release is known after 47 s, and all proofs are released after 53 s
