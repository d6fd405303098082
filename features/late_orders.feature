Feature: Orders of a leader do not arrive late

  Scenario Outline: An order to promote whose connection opens after <seconds> s
    # Guards against an order that is sent after the lease has passed to another
    # VM, since the process was stopped, or the connection slow to open.
    When a leader orders a promotion within 0.6 s and is connected after <seconds> s
    Then the order is <outcome>

    Examples:
      | seconds | outcome                         |
      | 0.1     | sent, and given up after 0.5 s  |
      | 0.55    | sent, and given up after 0.05 s |
      | 0.65    | not sent                        |
      | 5.0     | not sent                        |

  Scenario Outline: A report that was asked for before <event> is not acted on
    # Guards against an order to resume, or to step down, that follows from an
    # old report and releases the term of the next change.
    Given a leader that has asked a replica for its report after a change
    When <event>, and the report that it holds a term arrives
    Then the replica is not told to resume

    Examples:
      | event               |
      | another change      |
      | a loss of the lease |

  Scenario: A replica that still holds the term of a change is told to resume
    Given a leader that has asked a replica for its report after a change
    When the report that it holds a term arrives
    Then the replica is told to resume
