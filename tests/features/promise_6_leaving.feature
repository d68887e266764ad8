Feature: A target that is leaving receives no new work after a few seconds
  The bound is two seconds after the drain.

  Scenario: Two hosts are drained under load
    Given the trace "drain-under-load"
    When it is replayed
    Then the promise "leaving gets nothing new" holds

  Scenario: Drains that the nodes ignore are detected
    Given the trace "drain-under-load"
    And drains that nobody heeds
    When it is replayed
    Then the promise "leaving gets nothing new" is broken
