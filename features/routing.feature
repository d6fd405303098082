Feature: Reads go where the table, the lag and the targets' health allow
  One group of three: the first member is primary at site old, the second is
  at site new, the third at site old.

  Scenario: Weights choose the site, and a shift cuts no read
    # The operators read from the old site only, then move all weight to the
    # new one while callers go on. No read fails in between, and soon no read
    # is served at the old site's replica any more.
    Given a routing fleet with read weights old 100 and new 0
    Then 30 routed reads are all served by the third member
    When the read weights become old 0 and new 100 under load
    Then no routed read failed meanwhile
    And within 8 seconds routed reads are all served by the second member

  Scenario: A frozen replica
    # The second member stops without closing anything. A read that was sent
    # there gets no answer; it is tried elsewhere within its deadline. Soon no
    # read is sent there at all. When it runs again it gets its share again.
    Given a routing fleet without weights
    When the second member is frozen under load
    Then no routed read failed meanwhile
    And within 5 seconds routed reads are all served by the third member
    When the second member runs again
    Then within 8 seconds routed reads are served by both replicas

  Scenario: Connections to a replica go silent
    # Something between forgets the connections that exist: nothing comes back
    # on them and nobody closes them, while new ones work. Reads on them are
    # tried elsewhere and the connections are replaced.
    Given a routing fleet without weights
    When connections to the second member go silent under load
    Then no routed read failed meanwhile
    And within 8 seconds routed reads are served by both replicas

  Scenario: A replica that leaves
    # The member itself says that it is leaving and refuses new work. Soon
    # none is sent there, so that nothing has to be refused any more.
    Given a routing fleet without weights
    Then within 8 seconds routed reads are served by both replicas
    When the second member says that it is leaving
    Then within 5 seconds routed reads are all served by the third member
    And 60 routed reads later the second member was sent nothing more

  Scenario: The table's limit on age binds reads that state none
    # Replicas are 5 s behind and the row allows 500 ms. A caller that says
    # nothing of age, and has written nothing itself, still sees the row.
    Given a routing fleet with an age limit of 500 ms and replicas 5 s behind
    When somebody writes a row and 1.5 seconds pass
    Then a routed read without a stated age shows the row

  Scenario: Ages are known also under many writes
    # Replicas are 1.5 s behind and three callers write as fast as they can. A
    # caller that takes data 4 s old is still served at replicas: what the
    # primary had 4 s ago is known, however much was written since.
    Given a routing fleet without weights
    When replicas fall 1500 ms behind and 3 callers write all the time
    Then routed reads that take an age of 4000 ms are served at replicas

  Scenario: Fewer slots than holders, and one replica stopped
    # Each member has 2 slots for 3 holders, so one holder has none at the
    # only replica that runs. The reads of its entry go to the other holders,
    # and none falls back on the primary.
    Given a routing fleet with 2 slots at each target
    When the second member is frozen under load
    Then within 8 seconds routed reads are all served by the third member
