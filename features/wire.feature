Feature: Messages between the system's own processes

  # The failure: an entry or a holder decodes another statement or outcome than
  # was sent, and a caller gets a wrong answer.
  Scenario: What is sent is read alike at the other end
    Then every statement is read as it was sent
    And every outcome is read as it was sent

  # A process receives bytes of another version, or of a link that has lost its
  # framing. It must neither exit nor decode them as a statement. It closes the
  # link, and requests that wait on it get a lost answer.
  Scenario: A malformed message is refused
    Then a head of other members is refused as malformed
    And a frame that was cut or changed is read or refused as malformed

  # A holder's answer can't be decoded. The write may have run, so its caller
  # gets an unknown outcome at once instead of waiting until its deadline.
  Scenario: A malformed answer is a lost answer
    Given an entry whose holder's answers cannot be read
    When a write has come
    Then it is answered as unknown with holder_lost
    And the link is given up

  # A link has lost its framing, or a client that is no VM connects to the
  # port. The link must be closed, because nothing on it can be trusted and the
  # other end would wait until its deadlines. The process must still serve
  # callers.
  Scenario: Frames that are no messages
    Given a fleet of one VM
    When frames that are no messages come to its peers' port
    Then the VM still serves a write
