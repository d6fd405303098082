Feature: Overload is refused without loss of throughput

  Scenario: One caller floods, another one goes on
    # One caller sends several times the capacity of the targets. It gets the
    # available capacity, and all other requests are refused immediately with
    # a retry delay. Another caller that sends one statement at a time is
    # barely affected.
    Given an overload fleet whose statements take 20 ms
    When caller flood sends 600 reads a second for 6 seconds
    And caller quiet sends one read after the other meanwhile
    Then at least 90 percent of the reads of quiet are done
    And at least half of the refusals of flood came within 100 ms
    And each refusal that quiet or a prober saw says when to retry
