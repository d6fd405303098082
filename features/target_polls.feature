Feature: Polls of targets on which nothing has changed cost little
  A holder names the state that it knows; a target that still has it answers
  without a body. Silence, ages and positions must be known as before.

  # The caller reads its own write at a replica and gets data of before it, or
  # waits for a majority that is long there, if a target said "nothing new"
  # although something was. A write, a fence and a new role come one after the
  # other, and each must be told at once to one who named the state before it.
  Scenario: A target says that nothing is new only while nothing is
    Given target members a1, a2 and a3 with a1 as primary at term 1
    Then a poll of a1 that names its state is answered late and without a body
    When a write runs on a1 for a poll
    Then a poll of a1 that names the state before is answered with a body
    When a1 is fenced at term 2 for a poll
    Then a poll of a1 that names the state before is answered with a body
    And a poll of a1 that names a state of another target gets a body

  # The caller's reads all go to the primary, and its writes wait, if answers
  # without a body did not count as hearing the target: it would be taken for
  # silent although it answers each poll.
  Scenario: An answer without a body is a sighting of the target
    Given a holder that watches a primary over fake connections
    When the primary gives its account with a state
    And 20 polls are answered without a body, 400 ms apart
    Then each of those polls named the state
    And the primary was heard at the last of them, with its positions
    And its data counts as that of the last question

  # A target restarts behind the same address, and what answers first knows
  # nothing of what we named: no body there is no account. Taken for one, the
  # positions of the process before would count as this one's.
  Scenario: No body where nothing was named is a failure
    Given a holder that watches a primary over fake connections
    When the primary gives its account with a state
    And the connection is lost and the next answer has no body
    Then the primary was not heard again
    And the next question names nothing

  # Targets and proxies are not upgraded together. One that names no state
  # must be asked as before: with nothing named it would answer each poll at
  # once, and be asked again without a pause.
  Scenario: A target that names no state is asked by its positions
    Given a holder that watches a primary over fake connections
    When the primary gives its account without a state
    Then the next question names its positions and waits

  # A steward leads by what targets said last. If "as before" from one that was
  # never heard counted as a word, it would promote by positions that nobody
  # has told; if it did not count from one that was heard, each round would
  # make healthy targets look lost.
  Scenario Outline: A steward's round to a target that says "as before"
    Given a steward that <heard> of the target before
    When it probes the target and gets no body
    Then the probe asked for <path>
    And the answer counts as <word>

    Examples:
      | heard              | path                                     | word                |
      | heard nothing      | /probe                                   | no word at all      |
      | heard an account   | /positions?seen=00ff00ff00ff00ff&wait_ms=0 | the account before  |
