Feature: Rules in force
  An accepted change is in force everywhere and never reverts.

  Scenario: Two operators change the rules at the same time
    Given Marta and Andrés have read version 1
    When Marta applies her edit
    And Andrés applies his edit
    Then Andrés is told that Marta has changed the rules
    And a node that reads the store has version 2 by Marta in force

  Scenario: The store loses the answer after the write
    Given Marta and Andrés have read version 1
    And the store loses its answers
    When Marta applies her edit
    Then Marta is told that version 2 is accepted
    And a node that reads the store has version 2 by Marta in force

  Scenario: The store answers with an older state
    Given Marta and Andrés have read version 1
    And a node has read the store
    And the store returns no newer versions
    When Marta applies her edit
    And another node sends the new entry to the node
    And the node reads the store again
    And a node with version 1 sends its snapshot to the node
    Then the node has version 2 by Marta in force

  Scenario: The store is down
    Given Marta and Andrés have read version 1
    And a node has read the store
    And the store is down
    When Marta applies her edit
    Then Marta is told that the log is unavailable and unchanged
    And the node has version 1 by Inés in force
