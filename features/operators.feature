Feature: Operators see and steer the fleet

  Scenario: Health is open, all else needs the token
    Given a small fleet for operators
    Then /healthz and /readyz answer without a token
    And /metrics, /status.json, /fleet.json, /status and /table refuse a wrong token
    And a browser's sign-in with the token opens /status
    And a form of another site changes nothing

  Scenario: Metrics count what callers got, with bounded names
    Given a small fleet for operators
    When a caller does 5 writes and 7 reads through one entry
    And a caller asks that entry for 50 groups that do not exist
    Then that entry's metrics show 5 writes and 7 reads
    And no group that does not exist has a series of its own

  Scenario: A VM that is lost is shown as silent, and the rest goes on
    # One VM is shown as silent, the exit code changes from 0 to 1, and the
    # group still has its primary.
    Given a small fleet for operators
    Then "bamboospring status" soon ends with 0
    When one VM of the fleet is killed
    Then "bamboospring status" ends with 1 and names it silent

  Scenario: The primary is handed over on an operator's order
    Given a small fleet for operators
    When the operator orders another primary
    Then "bamboospring status" soon shows it at term 2

  Scenario: Keys change without a restart
    # The caller's session continues: its token was signed with the old key,
    # which VMs accept as well as the new one. An invalid settings file is
    # ignored, so that a typing error can't lock out operators and callers.
    Given a small fleet for operators
    And a caller with a session
    When the fleet's token keys and operators' token are replaced on SIGHUP
    Then the old operators' token is refused and the new one taken
    And the caller's session goes on, signed with the new key
    When the settings file is broken and read again
    Then the new operators' token is still taken

  Scenario: A statement can be followed from entry to holder
    Given a fleet with one VM that holds nothing
    When its logs are set to debug on SIGHUP
    And a write goes through an entry that does not hold its group
    Then the entry and one holder log it under the same correlation id

  Scenario: Traffic between VMs is encrypted and strangers are refused
    # A program without a certificate of the fleet's authority can't send
    # messages to a VM, while the fleet itself works.
    Given a small fleet for operators under TLS
    When a caller does 3 writes and 3 reads through every entry
    Then a stranger without the fleet's authority is refused by the peers' listener
    And plain text is refused by the peers' listener
    When the keys are replaced by new ones on SIGHUP
    Then the peers' listener shows the new certificate
    And a caller does 3 writes and 3 reads through every entry

  Scenario: Platform and targets are reached under TLS only
    # TLS proxies in front of the platform and the targets accept only clients
    # with a certificate of the fleet's authority. The VMs get reads done. When
    # the proxies show a certificate of another authority, no new connection is
    # opened: a VM whose connections are cut gets no read done, and a restarted
    # VM gets nothing from the platform. Writes are left out, because the
    # stand-ins replicate in plain text at the addresses that VMs use.
    Given a small fleet whose platform and targets use TLS
    Then a caller gets 5 reads done through every entry
    And nobody without the fleet's authority is let through to them
    When they show a certificate of another authority and cut connections
    Then no VM gets through to them, and none is ready after a restart

  Scenario: Callers and operators are served under TLS, and not without it
    Given a small fleet whose callers and operators use TLS
    Then a caller under TLS soon gets a read done
    And a caller in plain text gets no answer
    And "bamboospring status" with the authority's certificate soon ends with 0
    But without it "bamboospring status" ends with 3
