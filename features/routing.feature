Feature: Reads go where the table, the lag and the targets' health allow
  One group of three targets: the first member is the primary, at site old; the
  second is at site new and the third at site old.

  Scenario: Weights choose the site, and a shift cuts no read
    # All read weight is at the old site, then moves to the new one under load.
    # No read fails meanwhile, and soon the old site's replica serves none.
    Given a routing fleet with read weights old 100 and new 0
    Then 30 routed reads are all served by the third member
    When the read weights become old 0 and new 100 under load
    Then no routed read failed meanwhile
    And within 8 seconds routed reads are all served by the second member

  Scenario: A frozen replica
    # The second member stops without closing its connections. A read that was
    # sent there is tried elsewhere within its deadline, and soon no read is
    # sent there. When the member runs again, it serves reads again.
    Given a routing fleet without weights
    When the second member is frozen under load
    Then no routed read failed meanwhile
    And within 5 seconds routed reads are all served by the third member
    When the second member runs again
    Then within 8 seconds routed reads are served by both replicas

  Scenario: Connections to a replica go silent
    # A middlebox drops the state of the open connections: no data arrives on
    # them and neither end closes them, while new connections work. Reads sent
    # on them are tried elsewhere, and the connections are replaced.
    Given a routing fleet without weights
    When connections to the second member go silent under load
    Then no routed read failed meanwhile
    And within 8 seconds routed reads are served by both replicas

  Scenario: A replica that leaves
    # The member reports that it is leaving and refuses new statements. Soon no
    # statement is sent there, so that none has to be refused.
    Given a routing fleet without weights
    Then within 8 seconds routed reads are served by both replicas
    When the second member says that it is leaving
    Then within 5 seconds routed reads are all served by the third member
    And 60 routed reads later the second member was sent nothing more

  Scenario: The table's limit on age binds reads that state none
    # Replicas are 5 s behind and the table row allows 500 ms. A caller that
    # sets no staleness and has written nothing itself still sees a new row.
    Given a routing fleet with an age limit of 500 ms and replicas 5 s behind
    When somebody writes a row and 1.5 seconds pass
    Then a routed read without a stated age shows the row

  Scenario: Ages are known also under many writes
    # Replicas are 1.5 s behind and three callers write as fast as they can. A
    # caller that accepts data 4 s old is still served at replicas: the
    # primary's position 4 s ago is known, however much was written since.
    Given a routing fleet without weights
    When replicas fall 1500 ms behind and 3 callers write all the time
    Then routed reads that take an age of 4000 ms are served at replicas

  Scenario: Fewer slots than holders, and one replica stopped
    # Each member has 2 slots for 3 holders, so one holder has none at the only
    # running replica. Reads that reach it go to the other holders instead of
    # the primary.
    Given a routing fleet with 2 slots at each target
    When the second member is frozen under load
    Then within 8 seconds routed reads are all served by the third member
