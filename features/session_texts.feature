Feature: Sessions answer what they can, and say what is wrong

  Scenario: Values, names and rollbacks need no target
    Given a session
    When it is asked to SET lang 3
    Then the answer is acknowledged in state idle
    When it is asked to PREPARE a READ q1
    Then the answer is acknowledged in state idle
    When it is asked to BEGIN
    Then the answer is acknowledged in state open
    When it is asked to ROLLBACK
    Then the answer is acknowledged in state idle
    And no target was asked

  Scenario: What makes no sense fails the transaction and nothing else
    Given a session
    When it is asked to COMMIT
    Then the answer is failed bad_request in state idle
    When it is asked to BEGIN
    And it is asked to FLY away
    Then the answer is failed bad_request in state failed
    When it is asked to READ a
    Then the answer is failed bad_request in state failed
    When it is asked to COMMIT
    Then the answer is not_run transaction_lost in state idle

  Scenario: A name that was never prepared
    Given a session
    When it is asked to EXECUTE b 1
    Then the answer is failed no_statement in state idle
    When it is asked to RELEASE b
    Then the answer is failed no_statement in state idle

  Scenario: A transaction that rests too long is told so with the next answer
    # The caller begins a transaction, reads and pauses. The connection and
    # the lock of the transaction are released. Anything sent to the caller
    # meanwhile would be taken for the answer to its next statement, so it
    # is told only then.
    Given a session
    When it is asked to BEGIN
    And it is asked to READ a
    And 3.1 s pass
    Then its connection was released
    And nothing was sent meanwhile
    When it is asked to READ b
    Then the answer is not_run transaction_idle in state failed
    When it is asked to ROLLBACK
    Then the answer is acknowledged in state idle

  Scenario: A route that has gone ends with the transaction under way
    Given a session
    When it is asked to BEGIN
    And the route is dropped
    And it is asked to READ a
    Then the answer is served in state open
    When it is asked to COMMIT
    Then the answer is served in state idle
    When it is asked to READ a
    Then the answer is not_run unknown_group in state idle

  Scenario: Statements sent ahead are answered in order
    Given a session
    When it is sent READ a, SET x 1 and READ b at once
    Then the answers are served, acknowledged and served

  Scenario: A caller is told to go before its connection is closed
    # The VM shuts down while a write is in transit to an idle session. If
    # the connection were closed, the caller could not know whether the
    # write ran, and would not retry it. It takes the refusal as the answer
    # instead.
    Given a session
    When its disconnection is requested
    Then the caller has a refusal and stays connected
    When a write that was in transit arrives
    Then that answer is completed, the write has not run, and the connection is closed

  Scenario: A caller that sends nothing after it was told to go is closed
    # A caller closes the connection when it reads the refusal. This one
    # does not read.
    Given a session
    When its disconnection is requested
    And 0.5 s pass
    Then the connection is closed and nothing has run

  Scenario: A caller who leaves gives everything back
    Given a session
    When it is asked to BEGIN
    And it is asked to READ a
    And the caller disconnects
    Then its connection was released

  Scenario: Lines come in any pieces
    Then every cut of three lines gives the same three lines
    And a line over 1 MiB is refused
    And the statement parser handles any bytes

  Scenario: An opening is held while the VM learns, with what was sent ahead
    # Guards against: after a power failure of all VMs, callers that connect
    # before the records are read are refused, and find the other VMs
    # starting as well.
    Given a caller's listener that is not ready for 0.1 s
    When a caller opens a session and sends a statement ahead
    Then it gets READY and then the statement's answer
    And a listener that stays unready answers BUSY within 2 s

  Scenario: Entries of other writers name nothing to use
    # Guards against an entry that raises an error while it is read, and so
    # hides all other targets.
    Then each of these entries of a target is ignored
      | entry                                                    |
      | null                                                     |
      | "text"                                                   |
      | {}                                                       |
      | {"service": 7, "address": "1.2.3.4:5", "zone": "z"}      |
      | {"service": "g", "address": "1.2.3.4:5", "zone": "z", "state": "asleep", "databaseRole": "replica"} |
      | {"service": "g", "address": "nowhere", "zone": "z", "state": "ready", "databaseRole": "replica"} |
      | {"service": "g", "address": "1.2.3.4:8²", "zone": "z", "state": "ready", "databaseRole": "replica"} |
      | {"service": "g", "address": "1.2.3.4:٨٠", "zone": "z", "state": "ready", "databaseRole": "replica"} |
      | {"service": "g", "address": "1.2.3.4:65536", "zone": "z", "state": "ready", "databaseRole": "replica"} |
      | {"service": "g", "address": "1.2.3.4:5", "zone": "z", "state": "ready", "databaseRole": "boss"} |
    And a valid entry is read

  Scenario: A page of the store with one broken object keeps the others
    Then a list with a broken item returns the readable ones
    And a list in two pages asks for the second after the last name
    And a watch whose history is gone reads everything again

  Scenario: A reader of the log that stops stops nobody
    # The log collector hangs. A process that blocks in a write to standard
    # output would block every caller.
    Given a log whose reader has stopped
    When 20000 lines are logged
    Then logging them took less than 5 s and lines were dropped and counted

  Scenario: Lines of one kind are bounded, and what is left out is counted
    When 500 good and 500 bad events of a name are logged in one second
    Then 5 good and 100 bad lines are written
    And the next second's first line says how many were left out

  Scenario: A VM that starts loads nothing that it needs only later or never
    # All VMs have lost power. Callers connect, and none is answered until
    # the first VM has loaded its program. Modules that are needed only to
    # report a fault in the settings, for the other kind of platform, or to
    # scan the installed packages make all callers wait longer.
    Then the program of such a VM is loaded without any of these
      | module                      |
      | pkg_resources               |
      | json5                       |
      | typer                       |
      | opentelemetry               |
      | bamboospring.settings       |
      | bamboospring.json_source    |
      | bamboospring.http_dialer    |

  Scenario: Settings are read the same quickly and with the full grammar
    # A difference would change settings without an error.
    Then each of these texts is read as by the full grammar
      | text                                    |
      | {"level": "info"}                       |
      | // a comment\n{"level": "debug"}        |
      | {"level": /* within */ "debug"}         |
      | {"level": "info", "level": "debug"}     |
      | {"level": "info",}                      |
      | {"level": "// no comment"}              |
      | {"level": NaN}                          |
      | {"level":\n// between\n"info"}          |
      | {level: "info"}                         |

  Scenario: What callers lost is counted from the logs of all VMs
    # An overview of the statements that failed: how many, of which kind,
    # why and when. For a statement whose caller had disconnected, it shows
    # what the statement waited for.
    Given these lines of two VMs
      | line |
      | time=2026-01-31T09:30:00.100Z level=info event=answered vm=a group=g kind=read transaction=false outcome=served reason="" |
      | time=2026-01-31T09:30:01.100Z level=warning event=answered vm=a group=g kind=write transaction=false outcome=not_run reason=no_primary |
      | time=2026-01-31T09:30:02.100Z level=warning event=answered vm=b group=g kind=write transaction=false outcome=not_run reason=no_primary |
      | time=2026-01-31T09:30:03.100Z level=warning event=answered vm=b group=g kind=read transaction=true outcome=not_run reason=caller_gone waited_for="a connection to t1" |
    Then "bamboospring losses" prints, with exit code 0
      | line |
      | 2 g write: not_run, no_primary (2026-01-31T09:30:01 to 2026-01-31T09:30:02) |
      | 1 g read in transaction: not_run, caller_gone, waited for a connection to t1 (2026-01-31T09:30:03 to 2026-01-31T09:30:03) |
    And from 2026-01-31T09:30:04 on it prints "No statement failed." with exit code 1
