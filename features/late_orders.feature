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
