Feature: Every caller gets the whole answer to its own request
  Also when keys are repeated, and when connections go silent: they deliver
  nothing any more and are not closed.

  Scenario: Hours and invoices are entered again in mid-March
    Given the trace "hours-entered-again"
    When it is replayed
    Then the promise "own whole answer" holds
    And each "hours" request gets a whole answer
    And each "hours-again" request gets a whole answer
    And no "other" request gets an answer

  Scenario: Connections go silent during work that is not idempotent
    Given the trace "silent-connections"
    When it is replayed
    Then the promise "own whole answer" holds
    And each "hours" request is told "unknown"

  Scenario: Connections go silent during an idempotent lookup
    Given the trace "silent-connections"
    When it is replayed
    Then the promise "own whole answer" holds
    And each "lookup" request gets a whole answer

  Scenario: Keys that are not compared with the request are detected
    Given the trace "hours-entered-again"
    And keys without fingerprint
    When it is replayed
    Then the promise "own whole answer" is broken
