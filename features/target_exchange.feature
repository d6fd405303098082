Feature: Exchanges with a target over one connection

  # A target, or something before it, answers one request twice in one piece.
  # Whoever asks again from within the first answer, as a holder's long poll
  # does, would take the second for the answer to its new question: a position
  # that is not the target's.
  Scenario: A second answer to one request is not taken for the next one's
    Given a connection whose other end answers once too often
    When the caller asks again from within the first answer
    Then the first question is answered and the second is lost
    And the connection is closed
