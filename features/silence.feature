Feature: Nothing waits for a target that has fallen silent

  Scenario: Statements are refused soon when new connections hang
    # One VM alone has lost a primary: its packets vanish, nothing refuses.
    # Callers had waited through their whole 800 ms for a connection that never
    # came, and had no time left to try at a VM that still reaches it.
    Given a pool whose target answers nothing and whose silence counts after 0.15 s
    When a statement with 0.8 s is asked for every 0.05 s from 0.0 to 0.4
    Then each of them is refused as not run within 0.2 s, the last at once

  Scenario: Without a bound on silence they wait through all their time
    # The same load, so that the check above is seen failing.
    Given a pool whose target answers nothing and whose silence counts after inf s
    When a statement with 0.8 s is asked for every 0.05 s from 0.0 to 0.4
    Then some of them wait for 0.5 s or more

  Scenario: A queue at a busy target is no silence
    # A burst: work of 20 ms for each, two slots, twenty callers at once. The
    # last waits 0.2 s and is served, since answers come all the while.
    Given a pool whose target opens at once and answers after 0.02 s
    When 20 statements with 0.8 s are asked for at once
    Then all of them are served

  Scenario: A target that is heard again is used again at once
    Given a pool whose target answers nothing and whose silence counts after 0.15 s
    When a statement with 0.8 s is asked for every 0.05 s from 0.0 to 0.4
    And the target answers again from 0.4 on
    Then a statement that is asked for at 1.2 is served

  Scenario: A long statement alone is not taken for silence
    # Work varies by a factor of five. A statement that waits behind one of 120
    # ms, at a target that usually takes 20, gets its turn.
    Given a pool whose target opens at once and answers after 0.02 s
    When 10 statements are served and the next takes 0.12 s
    Then a statement that is asked for meanwhile is served as well
