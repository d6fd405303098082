Feature: Faults one upon another leave the books right

  # Callers write, read back, transfer and repeat what is unknown, roaming
  # between VMs, while targets and VMs are killed, frozen, cut off and go silent
  # and the platform fails, one or two at once. What a caller was told must be
  # what the primary has in the end: nothing acknowledged is missing, nothing is
  # there twice, nothing called not run is there, no sum is off, no own write
  # was not seen. Seed 6 once left a group that took no writes any more; seed 5
  # kills a primary whose newest entries no replica has.
  Scenario Outline: A soak of <seconds> s with seed <seed>
    When callers and faults run for <seconds> s with seed <seed>
    Then the soak finds nothing wrong
    And the soak acknowledged at least 500 writes

    Examples:
      | seed | seconds |
      | 6    | 40      |
      | 5    | 40      |
