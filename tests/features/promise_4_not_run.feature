Feature: A refusal that says "not run" is true
  The work has not been started and will not be started later.

  Scenario: Entries are refused and shed in a surge
    Given the trace "entry-opening-surge"
    When it is replayed
    Then the promise "not run is true" holds
    And at least one request is told "not run"

  Scenario: Targets refuse and connections go silent
    Given the trace "silent-connections"
    When it is replayed
    Then the promise "not run is true" holds

  Scenario: Payments time out and clients retry hard
    Given the trace "payment-timeouts"
    When it is replayed
    Then the promise "not run is true" holds
    And each "pay" request is told "unknown"

  Scenario: Refusals that always say "not run" are detected
    Given the trace "payment-timeouts"
    And refusals that always say not run
    When it is replayed
    Then the promise "not run is true" is broken
