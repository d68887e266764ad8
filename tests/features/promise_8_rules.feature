Feature: An accepted configuration is in force everywhere and never reverts
  It is in force within 9 s, despite races, lost answers and stale reads.

  Scenario: Operators race, answers are lost and reads are stale
    Given the trace "rules-race-and-stale"
    When it is replayed
    Then the promise "rules in force and never revert" holds
    And the operator of "lost-answer" is told "Applied"
    And the operator of "andres" is told "BaseMoved"
    And the operator of "while-down" is told "LogUnavailable"

  Scenario: Snapshots that restore an old version are detected
    Given the trace "rules-race-and-stale"
    And snapshots of any version
    When it is replayed
    Then the promise "rules in force and never revert" is broken
