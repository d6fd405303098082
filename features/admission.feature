Feature: A target's slots are given out fairly and in time

  Scenario: Properties of the queue under any load
    Then no explored load exceeds the slots or the queue
    And no explored load loses a statement or answers it twice

  Scenario: A flooding caller delays only itself
    # One caller submits 500 statements at once, then another one submits one.
    # It waits for about one statement of the first caller instead of the whole
    # queue. The first caller's statements beyond its part are refused.
    Given an admission with 1 slot and room for 64
    When caller flood asks for 500 statements with 2000 ms left
    And caller quiet asks for 1 statements with 2000 ms left
    Then caller quiet runs after at most 1 others
    And the refusals of caller flood were immediate and say when to retry

  Scenario: What would come too late is refused at once
    Given an admission with 1 slot and room for 64
    And its statements take 50 ms
    When caller one asks for 4 statements with 1000 ms left
    And caller two asks for 1 statements with 20 ms left
    Then caller two was refused at once because of queue_full

  Scenario: The earliest deadline goes first
    Given an admission with 1 slot and room for 64
    When caller one asks for 1 statements with 5000 ms left
    And caller late asks for 1 statements with 3000 ms left
    And caller soon asks for 1 statements with 1000 ms left
    Then the slot is given to one, then soon, then late

  Scenario: Retries stay a share of first tries
    Then 1000 first tries at 10 percent pay for 120 retries

  Scenario: A circuit opens, tries once and starts slowly
    Given a circuit that has failed 2 times
    Then it is open and lets one trial through after its pause
    When the trial succeeds
    Then 6 slots become 3 at first and 6 after the slow start

  Scenario: An entry sends to the holder that owes it the fewest answers
    # Each holder has a share of the slots. If an entry that is a holder sent
    # all statements to itself, its one slot would have a long queue and
    # callers would be refused while the slots of the other holders are free.
    Given an entry that is one of the three holders of a group
    When 1 writes come and none is answered
    Then the holders owe 1, 0 and 0 answers
    When 5 writes come and none is answered
    Then the holders owe 2, 2 and 2 answers
    When holder vm-2 is lost with all that it was sent
    And 2 writes come and none is answered
    Then the holders owe 3, 0 and 3 answers
    When holder vm-1 is lost with all that it was sent
    And holder vm-3 is lost with all that it was sent
    Then the entry remembers no holder of the group
