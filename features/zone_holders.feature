Feature: A zone's reads of a target go through few connections

  Scenario: The VMs of a zone agree on who holds a target
    Given 23 VMs of a zone that were in contact recently
    Then for 30 targets of 34 connections 68 VMs use holders of their own zone
    And no VM holds more than 6 of the 30 targets
    And the loss of a VM moves no target that it does not hold

  Scenario: Where every VM can keep connections, none of it is used
    Given 23 VMs of a zone that were in contact recently
    Then for 30 targets of 68 connections 68 VMs use their own
    And a VM whose list is 6 s old uses its own

  Scenario: A holder that does not answer is passed over
    # A holder loses power. Its zone's reads would wait for it until the
    # list of VMs is updated. The next VM in the ranking replaces it; if
    # that one fails too, each VM uses its own connections.
    Given 23 VMs of a zone that were in contact recently
    Then a VM whose holder failed asks the next one for 3 s
    And a VM whose second holder failed too uses its own

  Scenario: All of a group's reads come to one target with few places
    # Replicas lag, so that all reads of a group go to its primary: 3 slots
    # and 34 connections for 68 VMs. Without holders, each VM opens a
    # connection for nearly every read, which takes a slot for 12 ms; most
    # VMs find no place and refuse their callers. The reads need two thirds
    # of the slots' time, so nearly all can be served.
    Given 68 VMs in 3 zones before a target of 3 slots and 34 connections
    When reads of 20 ms arrive at 100 a second for 10 s
    Then at least 0.99 of them are served
    And at most 0.1 connections are opened for each read

  Scenario: A jam ends with its cause
    # Twice as many reads as the target can run arrive for five seconds.
    # Reads that arrive after the overload are served as usual.
    Given 68 VMs in 3 zones before a target of 3 slots and 34 connections
    When reads of 20 ms arrive at 300 a second for 5 s
    And 1 s passes in the crowd
    And reads of 20 ms arrive at 100 a second for 4 s
    Then at least 0.95 of them are served

  Scenario: Holders die in the middle of the load
    # A third of the VMs, including holders, lose power. Reads that were
    # sent to them have no answer and are retried elsewhere. No caller is
    # told that a read has not run while it may still run.
    Given 68 VMs in 3 zones before a target of 3 slots and 34 connections
    When reads of 20 ms arrive at 90 a second for 5 s
    And a third of the VMs are lost
    And reads of 20 ms arrive at 60 a second for 5 s
    Then at least 0.97 of them are served

  Scenario: Reads of many teams find their connections again
    # Guards against: each read opens a connection, because the last idle
    # one belonged to another team.
    Given 60 VMs in 2 zones before a target of 3 slots and 46 connections
    When statements of 14 ms of 30 teams arrive at 60 a second for 10 s, 0 of 10 of them writes
    Then at least 0.99 of them are served
    And at most 0.4 connections are opened for each read

  Scenario: Teams' writes go through the holders as well
    # Guards against: each write opens a connection at the VM that receives
    # it.
    Given 60 VMs in 2 zones before a target of 3 slots and 46 connections
    When statements of 14 ms of 30 teams arrive at 60 a second for 10 s, 5 of 10 of them writes
    Then at least 0.99 of them are served
    And at most 0.4 connections are opened for each read

  Scenario: Holders give places up where the target has none left
    # Guards against: idle connections at the holders of four zones keep all
    # other VMs from the target.
    Given 60 VMs in 4 zones before a target of 3 slots and 12 connections
    When statements of 14 ms of 30 teams arrive at 60 a second for 10 s, 5 of 10 of them writes
    Then at least 0.95 of them are served

  Scenario: A write whose holder dies is told the truth
    # Guards against: a forwarded write is sent again, or reported as not
    # run although it ran.
    Given 60 VMs in 2 zones before a target of 3 slots and 46 connections
    When holders are lost one after another while writes arrive
    Then no write ran twice and each outcome is correct

  Scenario: Only the target's own limits are waited for at a holder
    # A holder can't reach the target, but the VMs that ask it can. They use
    # their own connections instead of reporting that the target is
    # unreachable.
    Given 68 VMs in 3 zones before a target of 3 slots and 34 connections
    When holders can't reach the target
    And reads of 20 ms arrive at 40 a second for 5 s
    Then at least 0.95 of them are served

  Scenario: A limit that a refusal has lowered rises again
    # The limit of a VM that was a holder while the target was full is down
    # to one slot, and no further statement shows it that the target has
    # free slots.
    Given a limit of 4 that refusals at 0.1, 0.2, 0.3 and 0.4 have lowered
    Then at 0.5 it allows 1, and after 6 served ones more than 1
    And at 1.5 it allows 4 again

  Scenario: Reads come back whole, whatever is in them
    Then 300 generated reads and results are the same after decoding

  Scenario: A holder that is told to stop waits for what it runs for others
    # Guards against statements of other VMs that end without an answer when
    # their holder exits, since only its own callers' statements were counted.
    Given 60 VMs in 2 zones before a target of 6 slots and 53 connections
    When holders that run statements for other VMs are told to stop
    Then they count these statements until all are answered
