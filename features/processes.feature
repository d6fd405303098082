Feature: Several processes on one VM

  The operators' init system starts a VM's main process and, beside it,
  entry-only processes that share the callers' address.

  Scenario: An entry-only process serves like any entry, and calls nobody else
    # The kernel assigns callers of one VM to either of its processes. Reads,
    # reads of own writes and transactions that move from process to process
    # are done. The new process calls neither the platform nor the targets,
    # leads nothing, and no VM treats it as a VM.
    Given a fleet of 3 VMs whose processes may share addresses
    When an entry-only process is started beside vm-1
    Then sessions that go from process to process read what they wrote
    And transactions that go from process to process are committed
    And both processes of vm-1 have answered callers
    And no VM takes the entry-only process for one of the fleet
    And the entry-only process has connections only to peers

  Scenario: An edit is in force at an entry-only process and never reverts
    # The main process announces an edit to its entry-only process. Then it is
    # frozen, and the next edit comes from other VMs. It resumes while cut off,
    # so that it offers the older version for seconds. Finally it is killed,
    # starts without facts, and receives an edit made meanwhile. The version of
    # the entry-only process never decreases.
    Given a fleet of 3 VMs whose processes may share addresses
    When an entry-only process is started beside vm-1
    And an edit is made at vm-2
    Then the edit is in force at the entry-only process
    When the main process of vm-1 is frozen
    And an edit is made at vm-2
    Then the edit is in force at the entry-only process
    When the main process of vm-1 resumes, cut off, with the older version
    And the main process of vm-1 is killed
    And an edit is made at vm-2
    And the main process of vm-1 is started again
    Then the edit is in force at the entry-only process
    And no version ever decreased at the entry-only process

  Scenario: A main process dies while callers go on
    # The main process of vm-1 is killed, and its work is lost as in any crash.
    # New connections reach the entry-only process, which forwards to the other
    # VMs and receives an edit from them. Another one that starts now gets no
    # facts, so it accepts no callers. Then the main process is started again,
    # and both accept callers once they can serve them.
    Given a fleet of 3 VMs whose processes may share addresses
    When an entry-only process is started beside vm-1
    And the main process of vm-1 is killed
    And a second entry-only process is started that knows no other VM
    Then new callers of vm-1 are served without it
    When an edit is made at vm-2
    Then the edit is in force at the entry-only process
    When the main process of vm-1 is started again under load
    Then no request of vm-1's callers was refused or cut

  Scenario: An entry-only process is shut down and started under load
    # Callers open connections continuously and keep some. The process gets
    # SIGTERM: it accepts the connections in its queue, answers, and exits.
    # After the restart it accepts callers only once it is ready. No request is
    # cut.
    Given a fleet of 3 VMs whose processes may share addresses
    When an entry-only process is started beside vm-1
    And it gets SIGTERM and is started again under load
    Then it has ended by itself with exit code 0
    And no request of vm-1's callers was refused or cut

  Scenario: Connections that wait when a listener closes are taken first
    # A busy process, here a frozen one, is about to close its listener while
    # more connections wait in its queue than it accepts at once, each with a
    # request sent. The kernel would reset them, and their callers could not
    # know whether the request ran. The process accepts them all before it
    # closes.
    Given a fleet of 3 VMs whose processes may share addresses
    When an entry-only process is started beside vm-1
    And it gets SIGTERM and is frozen while 400 callers of vm-1 connect
    Then all of them get an answer once it resumes

  Scenario: Operators see each process
    # The status lists the entry-only process with its version and memory, its
    # own listener answers readiness and metrics, and an edit sent to it is
    # refused with the name of the VM to ask. After it is killed it is shown as
    # silent, because its callers have moved and nothing else would show its
    # failure.
    Given a fleet of 3 VMs whose processes may share addresses
    When an entry-only process is started beside vm-1
    Then the status of any VM shows the entry-only process as ready
    And its own readiness and metrics can be read
    And an edit sent to it names vm-1
    When the entry-only process is killed
    Then the status of any VM shows the entry-only process as silent

  Scenario: An entry-only process asks the holders that the VMs have
    # Groups are placed by the names of all groups. A process that placed
    # groups without them would first ask VMs that do not hold a group, and
    # callers of every second group would wait for another hop.
    Given an entry-only process with 12 VMs on its list
    When its main process names 60 groups
    Then it asks for each group at the holders that the VMs choose
