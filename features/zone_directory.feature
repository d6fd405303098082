Feature: After a restart, VMs know holders before there is a relay

  Scenario: The directory names a few VMs of each zone
    Given a directory of 60 VMs in 3 zones
    Then each of its zones has 8 VMs of that zone
    And it is the same in whatever order the VMs are listed

  Scenario Outline: The directory is stored again only when it has to be
    # Guards against: each VM that joins or leaves costs a write and a change
    # of holders.
    Given a directory of 60 VMs in 3 zones
    When <change>
    Then the directory <result>

    Examples:
      | change                              | result                |
      | nothing changes                     | is not stored         |
      | 3 VMs join                          | is not stored         |
      | 12 VMs join                         | has the count only    |
      | a VM that it names is gone          | replaces one VM       |
      | a VM that it names has a new address | replaces one VM      |

  Scenario: A VM that has just started uses holders at once
    # Guards against: after all VMs were killed, each VM opens as many
    # connections as a fleet of nine would allow it, until the targets have
    # none left. The list of a zone's VMs comes from its relay after seconds.
    Given a stored directory of 60 VMs in 3 zones
    When a VM that has just started reads it
    Then the VM knows that there are 60 VMs
    And it forwards statements for all of 12 targets but those that it holds
    And its limits for targets were applied and links to holders opened

  Scenario: The list of a relay replaces the directory and is kept
    # Guards against: a directory that names lost VMs undoes a newer list.
    Given a stored directory of 60 VMs in 3 zones
    When a VM that has just started reads it
    And its relay tells it 5 VMs of its zone
    And the directory is read again
    Then the VM chooses holders among the 5 VMs

  Scenario: Without load control the directory is not used
    Given a stored directory of 60 VMs in 3 zones
    When a VM without load control reads it
    Then the VM runs all statements itself

  Scenario: A directory that cannot be read is ignored
    # Guards against: an object of another writer stops the reading of the
    # groups' records, with which it is read.
    When a VM that has just started reads an invalid directory
    Then the VM runs all statements itself
    And the leader stores another over it
