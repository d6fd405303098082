Feature: Exchanges with a target over one connection

  # A target or a proxy answers one request twice in one packet. A client that
  # sends its next request from the callback of the first answer, as a holder's
  # long poll does, would take the second answer for that of its new request
  # and get a wrong position.
  Scenario: A second answer to one request is not taken for the next one's
    Given a connection whose other end answers once too often
    When the caller asks again from within the first answer
    Then the first question is answered and the second is lost
    And the connection is closed
