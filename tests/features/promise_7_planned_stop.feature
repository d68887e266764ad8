Feature: A planned stop cuts no request in flight
  The host stops after its last request has been answered.

  Scenario: Two hosts are drained under load
    Given the trace "drain-under-load"
    When it is replayed
    Then the promise "planned stop cuts nothing" holds
    And each "long" request gets a whole answer

  Scenario: Hosts that stop immediately are detected
    Given the trace "drain-under-load"
    And hosts that stop at once
    When it is replayed
    Then the promise "planned stop cuts nothing" is broken
