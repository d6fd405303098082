Feature: Links between VMs go silent for good while new ones work

  Scenario: A link on which only short questions are asked is replaced
    # Guards against a VM that never hears of its leader again: its questions
    # end before a heartbeat is sent, so that the silent link stays in use.
    Then a link that goes silent at any moment is replaced within 2.5 s
    And the log says that it was silent

  Scenario: A VM that answers late keeps its link
    # Guards against links that are opened anew while a VM is slow.
    Given two VMs, of which one answers after 450 ms
    When it is asked every 600 ms for 400 ms, 20 times
    Then one link was opened

  Scenario: A VM that stands still for a moment keeps its link
    Given two VMs, of which one answers after 2 ms
    When it is asked every 600 ms for 400 ms, 20 times
    And it stands still for 1.2 s while it is asked
    And it is asked every 600 ms for 400 ms, 5 times
    Then one link was opened

  Scenario: A change of primary does not wait for a link that went silent
    # Guards against callers that have no primary for 2 s longer, until proofs
    # lapse, since the leader's idle links to other VMs have gone silent.
    Given a leader that changes a primary, and a VM with which it had a link
    When that link goes silent and the leader asks for the release of proofs
    Then the VM has released its proof within 0.5 s

  Scenario: A VM that is gone is asked twice and reported once
    Given a leader that changes a primary, and a VM with which it had a link
    When the VM answers nothing and the leader asks for the release of proofs
    Then no release is known after 3 s, and the log says so once
