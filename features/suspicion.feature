Feature: A primary is taken for failed only on the word of several places
  The controllers alone, without processes: a wrong observation of one VM must
  not cause a change of primary.

  Scenario: The word of one availability zone is not enough
    # A zone's link is cut: no VM in it reaches the primary, which works. Their
    # reports must not replace it, whatever their number; a report from another
    # zone in addition may.
    Given reports against a primary from 3 VMs of one zone
    Then the primary is not taken for failed
    When a VM of another zone reports against it too
    Then the primary is taken for failed

  Scenario: Reports on an earlier term or of long ago do not count
    Given reports against a primary from two zones
    Then the primary is taken for failed
    But it is not taken for failed at a later term, nor 4 seconds later

  Scenario: A paused VM does not take its own pause for silence
    # The process is stopped for 5 seconds and then has received no answer for
    # that long. It must wait for the whole timeout again before it suspects a
    # primary.
    Given a holder that gets an answer of a primary every 100 ms
    When the holder is paused for 5 seconds and resumes
    Then it does not suspect the primary for the next 700 ms
    But it suspects it after 900 ms without an answer

  Scenario: A port that refuses for a moment is not suspected
    Given a holder that gets an answer of a primary every 100 ms
    When the primary's port refuses for 200 ms
    Then it does not suspect the primary
    When the primary's port refuses for 200 ms
    Then it suspects the primary

  Scenario: A steward that hears the primary itself ends the change
    # Holders of two zones suspect the primary, but it answers the steward as
    # primary of the term. No term is won, so no write is stopped.
    Given a change for a failed primary that answers the steward
    Then the change ends before the term is won

  Scenario: A steward with one zone's word asks another zone
    # Two regions are cut off from each other, and the primary is in the other
    # one. The only holder in this region is the steward itself, so all reports
    # are from its zone and no other would come. Without a request to another
    # zone, callers here, who reach a majority of the targets, would be refused
    # writes until the cut ends.
    Given a steward that is the only holder left, and a VM of another zone
    When neither of them reaches the primary
    Then the steward takes the primary for failed

  Scenario: The other zone's word may be that the primary works
    # Only the link between the steward and the primary is cut.
    Given a steward that is the only holder left, and a VM of another zone
    When only the steward does not reach the primary
    Then the steward does not take the primary for failed
