Feature: Concurrent faults leave all answers and data consistent

  # Callers write, read back, transfer and retry unknown outcomes, switching
  # between VMs, while targets and VMs are killed, suspended, disconnected or
  # silent and the platform fails, with one or two faults at a time. In the end
  # the answers must match the data of the primary: no acknowledged write is
  # missing, no write is applied twice, no write reported as not run is present,
  # all sums are correct, and every own write was visible. Seed 6 guards against
  # a group that no longer accepted writes after the faults; seed 5 kills a
  # primary whose newest entries no replica has.
  Scenario Outline: A soak of <seconds> s with seed <seed>
    When callers and faults run for <seconds> s with seed <seed>
    Then the soak finds no violations
    And the soak acknowledged at least 500 writes

    Examples:
      | seed | seconds |
      | 6    | 40      |
      | 5    | 40      |
