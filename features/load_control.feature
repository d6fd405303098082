Feature: Load control acts only where an estate asks for it

  Scenario Outline: Terms, regions and settings decide
    # Guards against: an estate that did not ask for load control is served
    # differently, or one that needs it goes without.
    Given settings with load control <mode>, terms <terms> and regions <regions>
    Then load control is <state>

    Examples:
      | mode | terms         | regions | state |
      | auto | base          | a       | off   |
      | auto | base,pressure | a       | on    |
      | auto | base          | a,a     | off   |
      | auto | base          | a,b     | on    |
      | on   | base          | a       | on    |
      | off  | base,pressure | a,b     | off   |
