Feature: Bad input gets a clear error and changes nothing
  Every request here is sent over a raw connection to a running VM. In each
  case the answer states the error, the connection is either usable or closed,
  no target runs anything, and the VM serves the next caller.

  Scenario: Requests that are understood as HTTP but not as ours
    # Each request is refused before anything is forwarded. It has been read
    # completely, so the connection stays usable.
    Given a bad-input fleet
    Then these requests are refused and their connections stay usable
      | fault                      | status | reason         |
      | broken JSON                | 400    | bad_request    |
      | a JSON list                | 400    | bad_request    |
      | an empty body              | 400    | bad_request    |
      | bytes that are no UTF-8    | 400    | bad_request    |
      | half a surrogate pair      | 400    | bad_request    |
      | deeply nested JSON         | 400    | bad_request    |
      | a wrong type               | 400    | bad_request    |
      | a field of ours misspelt   | 400    | bad_request    |
      | no group                   | 400    | bad_request    |
      | an integer of 100 digits   | 400    | bad_request    |
      | a number that is NaN       | 400    | bad_request    |
      | a statement over its limit | 400    | bad_request    |
      | too many parameters        | 400    | bad_request    |
      | a deadline of 0 ms         | 400    | bad_request    |
      | an unknown group           | 400    | unknown_group  |
      | a forged token             | 400    | bad_token      |
      | a token of another fleet   | 400    | bad_token      |
      | a handle as its token      | 400    | bad_token      |
      | a token as its handle      | 400    | no_transaction |
      | a path that is not ours    | 404    | bad_request    |
      | the method GET             | 405    | bad_request    |
    And no target ran anything, and the VM serves the next caller

  Scenario: Requests that can't be told from the next one
    # The end of the request is ambiguous, so the following bytes could be
    # taken for a second request (request smuggling); here a write follows each
    # one. The request is refused and the connection closed.
    Given a bad-input fleet
    Then these raw requests are refused and their connections closed
      | fault                             | status |
      | both a length and chunks          | 400    |
      | two different lengths             | 400    |
      | a length that is no number        | 400    |
      | a negative length                 | 400    |
      | chunks named in a disguised way   | 400    |
      | a space before a header's colon   | 400    |
      | a line that is no header          | 400    |
      | a header folded over two lines    | 400    |
      | a NUL in a header                 | 400    |
      | two Host headers                  | 400    |
      | bytes that are no HTTP            | 400    |
      | the protocol HTTP/2               | 400    |
      | a request to upgrade              | 400    |
      | a head of 40 KB                   | 431    |
      | a hundred headers                 | 431    |
      | a body of 3 MB                    | 413    |
      | chunks of 3 MB in all             | 413    |
    And no target ran anything, and the VM serves the next caller

  Scenario: Slow headers hold nothing for long
    # A caller sends one byte of its request every half second. The time limit
    # is for the whole request, so it is ended although bytes still arrive.
    Given a bad-input fleet
    When a caller sends its headers a byte at a time
    Then the connection is closed within 20 seconds with status 408
    And no target ran anything, and the VM serves the next caller

  Scenario: Pipelined requests are answered in order
    # Forty requests are sent at once, each selecting its own number, with an
    # invalid one in the middle. The answers must be in the same order.
    Given a bad-input fleet
    When a caller pipelines 40 reads with a broken one in the middle
    Then the answers come in the order of the requests

  Scenario: Any bytes and any JSON leave the VM up
    # Generated requests with a fixed seed: JSON of any structure, known fields
    # with any values, and raw bytes.
    Given a bad-input fleet
    When generated requests are sent to a VM
    Then each was answered with a known status or closed
    And no target ran anything, and the VM serves the next caller

  Scenario: A body that stops halfway
    # The caller announces 100 bytes, sends 10 and closes. Nothing runs.
    Given a bad-input fleet
    When a caller closes in the middle of its body
    Then no target ran anything, and the VM serves the next caller

  Scenario: A result that is too large harms nobody else
    # A read returns 5 MB. Forwarded, it would break the link between the VMs
    # and lose every statement in flight on it. The holder refuses the result,
    # and other reads through the same VM are not affected.
    Given a bad-input fleet with VMs that only forward
    When a caller reads 5 MB while others read through the same VM
    Then that read failed and its message says that the result is too large
    And no other read was disturbed
