Feature: Messages between the system's own processes

  # An entry and a holder read another statement or another outcome than was
  # sent, so that a caller gets what was not meant for it.
  Scenario: What is sent is read alike at the other end
    Then every statement is read as it was sent
    And every outcome is read as it was sent

  # Bytes from another version, or from a link that is out of step, reach a
  # process. It must neither end nor take them for a statement: the link is
  # dropped, and whoever waits on it is told that the answer is lost.
  Scenario: A malformed message is refused
    Then a head of other members is refused as malformed
    And a frame that was cut or changed is read or refused as malformed

  # A holder's answer can't be read. The write may have run: its caller is told
  # so at once instead of waiting for an answer that never comes.
  Scenario: A malformed answer is a lost answer
    Given an entry whose holder's answers cannot be read
    When a write has come
    Then it is answered as unknown with holder_lost
    And the link is given up

  # A link is out of step, or something that is no VM speaks to the port. The
  # link is closed, for nothing on it can be trusted any more: left open, the
  # other end would wait for its deadlines. The process serves on.
  Scenario: Frames that are no messages
    Given a fleet of one VM
    When frames that are no messages come to its peers' port
    Then the VM still serves a write
