Feature: Statements and answers are forwarded byte for byte

  Scenario Outline: A statement of any bytes reaches its target unchanged <way>
    # Guards against a target that runs a prepared write without the last
    # bytes of its data, which were taken for white space.
    Given a caller's connection and a target's connection
    Then statements of any bytes reach the target unchanged <way>

    Examples:
      | way                                    |
      | from the caller's VM                   |
      | from a holder                          |
      | as a step of a transaction at a holder |

  Scenario: Any bytes of rows and signatures reach the caller unchanged
    Given a caller's connection and a target's connection
    Then rows and signatures of any bytes reach the caller unchanged
    And they do so from a holder

  Scenario: The text of a target's error reaches the caller unchanged
    # Guards against an error text that loses the last bytes of a word, or
    # that is cut within a character.
    Given a caller's connection and a target's connection
    Then error texts of any bytes reach the caller with their line breaks as blanks
    And an error text of 300 bytes in Hindi is cut between two characters

  Scenario Outline: A response whose position is no number ends its connection <bytes>
    # Guards against a position whose digits only Unicode takes for such. It
    # raised an error in the connection's handler, and the statement waited
    # until its time was up.
    Given a caller's connection and a target's connection
    When the target ends its response with the position <bytes>
    Then the connection is lost at once and the log says why

    Examples:
      | bytes                                 |
      | 3.\xb2                               |
      | \xb9.7                               |
      | 3.-7                                  |
      | 3                                     |
      | 3.18446744073709551616                |
      | 3.99999999999999999999999999999999999 |

  Scenario: Names outside ASCII mean the same to operators, callers and targets
    # Guards against a database that no caller can open, and against a team
    # whose statements all wait until their time is up, since connections in
    # its name can't be opened.
    Then a database of any name is found by callers who send it in UTF-8
    And connections are opened in the names of any service and team

  Scenario: A prepared statement without an item is refused at once
    Given a session
    When it is asked to PREPARE a READ q1
    And it is asked to EXECUTE a
    Then the answer is failed bad_request in state idle
    And no target was asked

  Scenario: The bytes of a statement are logged as received and as sent
    # Guards against a shortened statement whose logs do not show where its
    # bytes were lost.
    Given a caller's connection and a target's connection
    Then the sizes that are logged of "EXECUTE s1 i1 two words" are 12 and 12
    And the sizes that are logged of "WRITE i1 two words" are 18 and 18

  Scenario: Callers write bytes that are no text through holders
    # Guards against a prepared write that is acknowledged although its target
    # has kept other data.
    Given an estate with 12 VMs, load control and 10 connections of each target
    When 10 callers work for 8 s
    Then every promise was kept
    And at least 95 percent of the operations were served
    And statements of transactions ran through holders
