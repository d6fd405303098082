Feature: The report says what was kept and what burns

  The figures of the first scenarios are calculated by hand in their comments.

  Scenario: Budgets, burn rates and causes agree with figures worked by hand
    # 10 of 10,000 failed: 0.1 %, which is exactly what 99.9 % allows: rate 1.0.
    # One hour is 1/720 of 30 days: 0.1389 % of the budget is spent.
    # 300 of 9,990 done were slow: 3.003 %, three times what 99 % allows.
    # 5,000 of 8,000 reads at replicas: 62.5 %.
    Given a series of one VM and one group
      | at   | reads | writes | replica_reads | slow | longest_gap_ms | not_run.no_primary | unknown.answer_lost |
      | 0    | 0     | 0      | 0             | 0    | 0              | 0                  | 0                   |
      | 3600 | 8000  | 1990   | 5000          | 300  | 4200           | 8                  | 2                   |
    Then the report has for the group
      | figure                             | value  |
      | availability.bad                   | 10     |
      | availability.total                 | 10000  |
      | availability.burn_rate             | 1.0    |
      | availability.budget_spent_percent  | 0.1389 |
      | latency.burn_rate                  | 3.003  |
      | failover_gap.longest_ms            | 4200   |
      | replica_share.percent              | 62.5   |
      | causes.not_run.no_primary          | 8      |
    And the group misses just latency

  Scenario: A page needs a long and a short window that both burn
    # 20 of 1,000 in each five minutes: 2 %, a rate of 20, over 14.4.
    Given a series of 13 samples every 300 s that grows by 980 reads and 20 failures
    Then the report pages for availability over 60 minutes
    When 1 more sample grows by 1000 reads and 0 failures
    Then the report does not page

  Scenario: A restarted VM begins at zero and nothing is counted twice
    # 100 before the restart, and 30 by the new process since then.
    Given a series of one VM and one group
      | at | reads | started_at |
      | 0  | 900   | 1          |
      | 10 | 1000  | 1          |
      | 20 | 30    | 15         |
    Then the report has for the group
      | figure             | value |
      | availability.total | 130   |

  Scenario: However the samples are spaced, nothing is lost between them
    Then the tallies of any split of a series add up to the whole

  Scenario: A real failover shows as a gap with its causes
    # A primary is killed during writes. Callers get unknown outcomes or wait,
    # until writes continue at the new primary. The report shows the gap, and
    # an objective of 1 ms as missed.
    Given a small fleet for operators
    And a settings file whose objective for the gap is 1 ms
    When the primary is killed while a caller writes and the fleet is recorded
    Then "bamboospring report" ends with 1 and shows a gap as missed
    And its page has a plot of the group

  Scenario: A broken series is refused with its line
    Given a series whose line 2 is broken
    Then "bamboospring report" ends with 2 and names line 2
