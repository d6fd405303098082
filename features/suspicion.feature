Feature: A primary is taken for failed only on the word of several places
  The controllers alone, without processes: what one VM sees wrong must not
  cost the group its primary.

  Scenario: The word of one availability zone is not enough
    # A zone's own link is cut: all VMs there lose sight of the primary, which
    # works. No number of them may have it replaced; one from another zone may.
    Given reports against a primary from 3 VMs of one zone
    Then the primary is not condemned
    When a VM of another zone reports against it too
    Then the primary is condemned

  Scenario: Reports on an earlier term or of long ago do not count
    Given reports against a primary from two zones
    Then the primary is condemned
    But it is not condemned at a later term, nor 4 seconds later

  Scenario: A paused VM does not take its own pause for silence
    # The process is stopped for 5 seconds. Awake again it has heard nobody for
    # that long; it must listen for the whole limit before it suspects anybody.
    Given a holder that hears a primary every 100 ms
    When the holder is paused for 5 seconds and wakes
    Then it does not suspect the primary for the next 700 ms
    But it suspects it after 900 ms without a word

  Scenario: A port that refuses for a moment is not suspected
    Given a holder that hears a primary every 100 ms
    When the primary's port refuses for 200 ms
    Then it does not suspect the primary
    When the primary's port refuses for 200 ms
    Then it suspects the primary

  Scenario: A steward that hears the primary itself ends the change
    # Holders of two zones suspect the primary, but it answers the steward as
    # primary of the term. The term is not won, so no write is stopped.
    Given a change for a failed primary that answers the steward
    Then the change ends before the term is won

  Scenario: A steward with one zone's word asks another zone
    # Two regions have lost each other, and the primary is in the other one.
    # The only holder on this side is the steward itself, so all witnesses are
    # of its zone, and nobody else would report: callers here, who have the
    # majority of the targets, would be refused writes until the cut is over.
    Given a steward that is the only holder left, and a VM of another zone
    When neither of them reaches the primary
    Then the steward takes the primary for failed

  Scenario: The other zone's word may be that the primary works
    # The steward's own way to the primary is cut, nothing else.
    Given a steward that is the only holder left, and a VM of another zone
    When only the steward does not reach the primary
    Then the steward does not take the primary for failed
