Feature: A lost response does not keep a slot and a connection

  Scenario: A target loses a fifth of its responses
    # Callers see most statements refused, because those without a response
    # keep the slots of the holders' queues until their time limit, although
    # hedges were answered long before; and transactions find no connection.
    Given 80 VMs in 3 zones before a target of 6 slots and 53 connections
    And load control is on at all VMs
    When reads of 20 ms arrive at 150 a second for 3 s
    And the target begins to lose 0.2 of its responses
    And reads of 20 ms arrive at 150 a second for 4 s
    Then at least 0.9 of them are served
    And at most 40 connections were in use at the target
    And at most 1.3 statements were run for each read

  Scenario: Without load control nothing is abandoned
    # Guards against: a site that has not asked for load control is served
    # differently.
    Given 80 VMs in 3 zones before a target of 6 slots and 53 connections
    When the target begins to lose 0.2 of its responses
    And reads of 20 ms arrive at 150 a second for 2 s
    Then no statement was overdue

  Scenario: The load after lost responses is served as before
    # Guards against: thresholds, slots or connections that the lost responses
    # have changed stay so.
    Given 80 VMs in 3 zones before a target of 6 slots and 53 connections
    And load control is on at all VMs
    When the target begins to lose 0.2 of its responses
    And reads of 20 ms arrive at 150 a second for 4 s
    And the target begins to lose 0 of its responses
    And 1 s passes in the crowd
    And reads of 20 ms arrive at 150 a second for 4 s
    Then at least 0.99 of them are served
    And no holder waits longer than 0.3 s for a response

  Scenario Outline: A slow target is not taken for one that loses responses
    # Guards against: reads that a slow target still executes are closed and
    # sent again, so that it executes them twice.
    Given 80 VMs in 3 zones before a target of 6 slots and 53 connections
    And load control is on at all VMs
    When reads of 20 ms arrive at <before> a second for 3 s
    And reads of <ms> ms arrive at <rate> a second for 4 s
    Then no read was abandoned

    Examples:
      | before | ms  | rate |
      | 150    | 100 | 50   |
      | 150    | 200 | 25   |
      | 15     | 300 | 15   |
      | 8      | 500 | 8    |

  Scenario: A target's queue is not taken for lost responses
    # The target queues up to 48 statements, 160 ms of its work, which is
    # longer than the least threshold.
    Given 80 VMs in 3 zones before a target of 6 slots and 53 connections
    And the target queues up to 48 statements
    And load control is on at all VMs
    When reads of 20 ms arrive at 100 a second for 2 s
    And reads of 20 ms arrive at 450 a second for 3 s
    Then no read was abandoned

  Scenario: Connections that never respond are closed
    # Guards against: a read that meets a silent connection waits there until
    # its time limit, and so does the next one.
    Given 80 VMs in 3 zones before a target of 6 slots and 53 connections
    And load control is on at all VMs
    When reads of 20 ms arrive at 100 a second for 2 s
    And half of the open connections fall silent
    And reads of 20 ms arrive at 100 a second for 4 s
    Then at least 0.97 of them are served
    And no silent connection is left
    And at most 2 exchanges reached their time limit

  Scenario: A write whose response is lost is not sent again
    # Guards against: an overdue write is sent twice, or reported as not run
    # although it ran.
    Given 80 VMs in 3 zones before a target of 6 slots and 53 connections
    And load control is on at all VMs
    When the target begins to lose 0.2 of its responses
    And statements of 20 ms of 1 teams arrive at 100 a second for 4 s, 10 of 10 of them writes
    Then no write ran twice and each outcome is correct
    And at least 0.75 of them are served
    And no read was abandoned

  Scenario: A write keeps its connection, but not its slot
    # Guards against: overdue writes keep others out until their time limit.
    Given a VM before a target of 1 slots alone
    When a write has had no response for 0.7 s
    Then another statement of that VM is served at once
    And it ends as Unknown when its time limit has passed
    And the usual duration of statements is still below 30 ms
    And no slot is in use

  Scenario: A statement of a transaction keeps its connection
    # Guards against: the connection of an open transaction is closed, or its
    # statement is sent again elsewhere.
    Given a VM before a target of 1 slots alone
    When a statement of a transaction has had no response for 0.7 s
    Then another statement of that VM is served at once
    And it ends as NotRun when its time limit has passed

  Scenario: A commit without a response is unknown
    # Guards against: a lost response to a commit is reported as not run.
    Given a VM before a target of 1 slots alone
    When a commit has had no response for 0.7 s
    Then it ends as Unknown when its time limit has passed

  Scenario: A read is abandoned once
    # Guards against: a slow target executes the same read again and again.
    Given a VM before a target of 3 slots alone
    When a read and its second attempt have no response, but others have
    Then it was sent 2 times and abandoned 1 times
    And it ends as Unknown when its time limit has passed

  Scenario: A read is abandoned once at holders, too
    # Guards against: only the VM of the caller knows of the first time.
    Given 80 VMs in 3 zones before a target of 6 slots and 53 connections
    And load control is on at all VMs
    When a read and its second attempt have no response, but others have
    Then it was sent 2 times and abandoned 1 times
    And it ends as Unknown when its time limit has passed

  Scenario Outline: A read that keeps waiting is closed when its caller leaves
    # Guards against: its connection stays in use until the time limit.
    Given <VMs> before a target of 3 slots <connections>
    And load control is on at all VMs
    When a read and its second attempt have no response, but others have
    And its caller leaves
    Then no connection is in use 0.05 s later

    Examples:
      | VMs               | connections        |
      | a VM              | alone              |
      | 80 VMs in 3 zones | and 53 connections |

  Scenario: The setup of a connection is not waited for
    # The response to SET is lost. The statement was not sent, so that even a
    # write may use another connection.
    Given a VM before a target of 1 slots alone
    When a write with session values loses the response to its setup
    Then it is served and was run once

  Scenario: The setup of a holder's connection is not waited for
    Given 80 VMs in 3 zones before a target of 6 slots and 53 connections
    And load control is on at all VMs
    When a write with session values loses the response to its setup
    Then it is served and was run once

  Scenario: A read whose caller has left is closed when it is overdue
    # Guards against: a read that nobody waits for keeps its connection until
    # its time limit, or is sent again.
    Given a VM before a target of 1 slots alone
    When a read without a response is left by its caller
    Then its connection is closed within 0.7 s and it was sent once

  Scenario: The same through a holder
    # Guards against: only the VM of the caller knows that nobody waits.
    Given 80 VMs in 3 zones before a target of 6 slots and 53 connections
    And load control is on at all VMs
    When a read without a response is left by its caller
    Then its connection is closed within 0.7 s and it was sent once

  Scenario Outline: When a response is overdue
    # Usually 20 ms, sent at 10 s with a time limit of 1 s.
    Given a target that usually responds within <usual> ms
    And <later> statement sent later was answered
    Then a statement that has waited for <waited> ms is <verdict>

    Examples:
      | usual | later | waited | verdict        |
      | 20    | a     | 149    | still expected |
      | 20    | a     | 151    | overdue        |
      | 20    | no    | 151    | still expected |
      | 20    | no    | 599    | still expected |
      | 20    | no    | 601    | overdue        |
      | 50    | a     | 299    | still expected |
      | 50    | a     | 301    | overdue        |
      | 400   | a     | 999    | still expected |

  Scenario Outline: When a statement without a response keeps its slot
    # Guards against: the statements whose responses are lost keep all slots
    # of a queue, so that nothing is sent later, nothing shows that they are
    # lost, and the queue refuses what would fit.
    Given a target that usually responds within 20 ms
    And <later> statement sent later was answered
    Then a statement that has waited for <waited> ms <slot>

    Examples:
      | later | waited | slot                |
      | no    | 149    | keeps its slot      |
      | no    | 151    | gives back its slot |
      | no    | 599    | gives back its slot |
      | a     | 149    | keeps its slot      |
      | a     | 151    | gives back its slot |

  Scenario: Slots that are given back end a stall
    # Guards against: the time in which all slots were kept by statements
    # whose responses were lost counts as the rate of the queue, which then
    # refuses what would fit.
    Given a queue of 2 slots that serves a statement every 10 ms
    When both slots are kept for 150 ms and given back as overdue
    Then 50 to 70 further statements are accepted at once

  Scenario: Other waits still count
    # Guards against: a queue that serves more urgent statements accepts others
    # that will wait too long, since the response to one is overdue.
    Given a queue of 2 slots that serves a statement every 10 ms
    When it serves more urgent ones for 500 ms, and then a response is overdue
    Then 8 to 10 further statements are accepted at once

  Scenario: Lost responses leave the threshold as it is
    # Guards against: each lost response counts as a slow one, so that a
    # target that loses a fifth of them raises the threshold to the time limit.
    Given a target that usually responds within 20 ms
    When 200 statements are sent, of which every 5th is lost
    Then the threshold is at most 151 ms

  Scenario: Reads of a slow target raise the threshold
    # Guards against: all reads of a target that has become slow are abandoned.
    Given a target that usually responds within 20 ms
    When a read becomes overdue after 600 ms, and nothing was answered
    Then the threshold is at least 600 ms
    And 5 s later it is at most 500 ms

  Scenario: The threshold follows the usual response time
    # Guards against: reads of a busy target are abandoned.
    Given a target that usually responds within 20 ms
    When 40 responses take 60 ms
    Then the threshold is at least 350 ms
    And the threshold is at most 361 ms

  Scenario: Locks do not raise the threshold
    # Guards against: a transaction whose response is lost keeps its locks;
    # the writes that wait for them are answered late and would prevent the
    # detection of lost responses.
    Given a target that usually responds within 20 ms
    When a write that has waited 900 ms for a lock is answered
    Then the threshold is at most 151 ms

  Scenario: A long statement now and then is known to be long
    # Guards against: a report of 300 ms that runs every second is abandoned
    # each time, since it hardly changes the usual time.
    Given a target that usually responds within 20 ms
    When a response takes 300 ms once a second among 50 short ones
    Then the long one never waits for longer than the threshold

  Scenario: The threshold is bounded
    Then for 300 generated histories the threshold is within its bounds

  Scenario Outline: What is abandoned
    Given an overdue <statement>
    Then the statement <action>

    Examples:
      | statement                                     | action         |
      | read                                          | is abandoned   |
      | read that was abandoned before                | keeps waiting  |
      | read that was abandoned before and not needed | is abandoned   |
      | read with too little time for another attempt | keeps waiting  |
      | write                                         | keeps waiting  |
      | write that is not needed                      | keeps waiting  |
      | read in a transaction                         | keeps waiting  |

  Scenario: Lines about overdue responses are few
    Given a target that usually responds within 20 ms
    When 1000 statements become overdue within 3 s
    Then at most 4 lines are due
