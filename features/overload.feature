Feature: Under too much load the work that can be done is done

  Scenario: One caller floods, another one goes on
    # A caller sends several times what the targets can do. It gets what there
    # is, and for the rest a refusal at once that says when to come back.
    # Another caller with one statement at a time is hardly disturbed.
    Given an overload fleet whose statements take 20 ms
    When caller flood sends 600 reads a second for 6 seconds
    And caller quiet sends one read after the other meanwhile
    Then at least 90 percent of the reads of quiet are done
    And at least half of the refusals of flood came within 100 ms
    And each refusal that quiet or a prober saw says when to retry
