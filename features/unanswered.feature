Feature: A lost leader and a lost primary are followed soon

  Scenario: What statements have shown of a primary is not lost with the leader
    # A primary and the leader stop answering together. Guards against a new
    # leader that waits for its own checks of the primary, while writes are
    # refused, although its statements have already shown the failure.
    Given a pool whose target answers
    When a statement with 0.8 s is asked for every 0.05 s until 1.0
    And the target stops answering at 1.1 and a statement is requested
    Then at 1.9 it counts as unresponsive since 1.1
    And a VM that becomes the leader at 1.9 replaces its primary at once

  Scenario: Refused connections from before count for a new leader
    # The primary's process is not running. Guards against a new leader that
    # waits for its own checks although its connections have been refused for
    # half a second.
    Given a pool whose target refuses connections
    When a statement with 0.8 s is asked for every 0.05 s until 0.4
    Then a VM that becomes the leader at 0.4 replaces its primary at once

  Scenario: A target that answers is never without a word for long
    Given a pool whose target answers
    When a statement with 0.8 s is asked for every 0.05 s until 1.0
    Then at 1.5 it does not count as unresponsive

  Scenario: Openings that were given up still count
    # Connection attempts hang and time out after half a second each, so no
    # single attempt lasts long.
    Given a pool whose target hangs
    When a statement with 0.8 s is asked for every 0.05 s until 1.0
    Then at 1.2 it counts as unresponsive since 0

  Scenario: A renewal seen by the way is not waited out from the next look on
    # The leader renews its lease, passes the version on with other facts and
    # fails. The store is slow, so no VM reads the lease object itself.
    Given a VM that saw the lease at version 4 of another one at 0.2
    When it observes version 5 at 0.3
    Then it takes the lease at 1.9 and not before

  Scenario: An older renewal seen by the way changes nothing
    Given a VM that saw the lease at version 4 of another one at 0.2
    When it observes version 3 at 0.9
    Then it takes the lease at 1.8 and not before

  Scenario: Nobody waits at a target that has no place for a connection
    # There are more VMs than the target allows connections, and all reads go
    # to it. Guards against a VM without a connection that lets statements wait
    # until their deadline although another target has free connections.
    Given a pool whose target allows no connection
    When a statement with 0.8 s is asked for every 0.05 s until 0.4
    Then at 0.5 all of them are refused because of target_connections

  Scenario: A primary that has no place for a connection is not silent
    # The leader gets no connection to a primary that all other VMs use. If it
    # treats that as unresponsive it replaces a working primary, five times in
    # a minute of load on 68 VMs.
    Given a pool whose target allows no connection
    When the leader asks the target for its report
    Then the answer is that it is busy
    And at 1.0 it does not count as unresponsive

  Scenario: A target that is full when it is tried again is tried once more
    # An unreachable target comes back. The trial connection of a VM is refused
    # because other VMs use all connections. Guards against a VM that waits
    # forever for the end of that trial and refuses every statement of the
    # group while all other VMs serve it.
    Given a pool whose target hangs
    When a statement with 0.8 s is asked for every 0.05 s until 1.4
    And the target answers from 1.5 on, with no free connection before 2.5
    And a statement with 0.8 s is asked for every 0.05 s until 4.0
    Then all statements asked for from 3.5 on are served

  Scenario: Whatever a target went through, it is used again soon after
    # Any sequence of hanging, refused and exhausted connections and of normal
    # service may leave a pool's circuit in any state. One second after the
    # target works again all statements are served.
    Then in 300 generated histories of a target it is served a second later

  Scenario: A connection of one's own is waited for
    # The target allows no second connection, but the first one serves.
    Given a pool whose target allows one connection
    When 6 statements with 0.8 s are asked for at once
    Then at 1.0 all of them are served

  Scenario: Connections beyond a few rest only shortly
    # After all VMs lost power, targets still count their connections for
    # seconds. If idle connections took all places, VMs that come back would
    # get none and their callers would wait in vain.
    Given five idle connections of which 2 may stay idle for 0.8 s
    Then at 0.125 those used at 0.0, 0.01, 0.02 are closed
    And at 0.835 those used at 0.03 are closed

  Scenario: A lost answer of the store is not waited for a second
    # The store executes a renewal and the answer is lost. Answers take 4 ms.
    # With a fixed timeout of a second two lost answers cost the lease, and
    # each step of a change of primary is delayed as long.
    Given answers of the store that took 0.004, 0.005 and 0.004 s
    Then the next call has a timeout of 0.25 s
    And after one, two and three timeouts it has 0.5, 1.0 and 1.0 s

  Scenario: A slow store is given its time
    # Answers suddenly take 70 times as long. The first calls time out; later
    # ones must not, or no call would ever succeed.
    Given answers of the store that took 0.004, 0.005 and 0.004 s
    When the store takes 0.35 s from now on
    Then the second call is answered and none of the next 20 times out
    And 8 quick answers later the next call has a timeout of 0.25 s

  Scenario: A large configuration may take longer than small answers do
    # Answers take 4 ms, so a call times out after 0.25 s. Guards against a
    # configuration of a megabyte over a link of 10 Mbit/s that is requested
    # again and again.
    Given a store whose answers take 0.004 s
    When a configuration that takes 0.9 s is read
    Then it has arrived after 1 s with one request
    And other calls still time out after 0.25 s
