Feature: Messages between the system's own processes

  # While a fleet is updated, entries and holders of two versions talk to each
  # other. If the packing by hand and the schema part, a caller gets another
  # statement's fields or its connection's link is dropped: `unknown` for all
  # that is under way between the two VMs.
  Scenario: What is packed by hand is Cap'n Proto as the schema has it
    Then a statement packed by hand is read alike by pycapnp and by hand
    And an outcome packed by hand is read alike by pycapnp and by hand
    And what pycapnp has written is read as well
    And a frame that was cut or changed is refused or read within its bounds

  # A target, or something before it, answers one request twice in one piece.
  # Whoever asks again from within the first answer, as a holder's long poll
  # does, would take the second for the answer to its new question: a position
  # that is not the target's.
  Scenario: A second answer to one request is not taken for the next one's
    Given a connection whose other end answers once too often
    When the caller asks again from within the first answer
    Then the first question is answered and the second is lost
    And the connection is closed
