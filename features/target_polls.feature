Feature: Polls of targets on which nothing has changed cost little
  A holder names the state that it knows; a target that still has it answers
  without a body. Failure detection, data ages and positions must be the same
  as with a body.

  # If a target reported no change although there was one, a caller that reads
  # its own write at a replica would get older data, or a write would wait
  # although a majority holds it. A write, a fence and a new role follow one
  # another, and each must be reported at once to a poll that names the state
  # before it.
  Scenario: A target says that nothing is new only while nothing is
    Given target members a1, a2 and a3 with a1 as primary at term 1
    Then a poll of a1 that names its state is answered late and without a body
    When a write runs on a1 for a poll
    Then a poll of a1 that names the state before is answered with a body
    When a1 is fenced at term 2 for a poll
    Then a poll of a1 that names the state before is answered with a body
    And a poll of a1 that names a state of another target gets a body

  # If answers without a body did not count, the target would be treated as
  # unresponsive although it answers each poll: all reads would go to the
  # primary and writes would wait.
  Scenario: An answer without a body is a sighting of the target
    Given a holder that watches a primary over fake connections
    When the primary sends its report with a state
    And 20 polls are answered without a body, 400 ms apart
    Then each of those polls named the state
    And the last of them counts as an answer, with its positions
    And its data counts as that of the last poll

  # A target restarts behind the same address. An answer without a body to a
  # request that named no state is no report: treated as one, the positions of
  # the previous process would count as those of the new one.
  Scenario: No body where nothing was named is a failure
    Given a holder that watches a primary over fake connections
    When the primary sends its report with a state
    And the connection is lost and the next answer has no body
    Then the primary counts as not having answered again
    And the next request names no state

  # Targets and proxies are not upgraded together. A target whose reports have
  # no state must be polled by its positions: without them it would answer each
  # poll at once and be polled again without a pause.
  Scenario: A target that names no state is asked by its positions
    Given a holder that watches a primary over fake connections
    When the primary sends its report without a state
    Then the next request names its positions and waits

  # A steward decides by the targets' last reports. If an answer without a body
  # of a target that has never reported counted, it would promote by positions
  # that were never reported. If it did not count for a target that has
  # reported, each probe round would make healthy targets appear lost.
  Scenario Outline: A steward's round to a target that says "as before"
    Given a steward that <has> of the target
    When it probes the target and gets no body
    Then the probe asked for <path>
    And the answer counts as <report>

    Examples:
      | has              | path                                       | report           |
      | has no report    | /probe                                     | no report at all |
      | has a report     | /positions?seen=00ff00ff00ff00ff&wait_ms=0 | the same report  |
