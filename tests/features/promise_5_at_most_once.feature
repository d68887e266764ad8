Feature: Requests that must run at most once never run twice
  These are entries, captures, swaps, invoice runs and trust postings.

  Scenario: The invoice run is sent twice at night
    Given the trace "invoice-run-at-night"
    When it is replayed
    Then the promise "at most once" holds
    And the "run" requests run once in all
    And each "run" request is told "unknown"

  Scenario: A host is lost during retainer draw-downs at month close
    Given the trace "retainer-draw-downs"
    When it is replayed
    Then the promise "at most once" holds

  Scenario: The store is down and a host is lost
    Given the trace "outage-and-host-loss"
    When it is replayed
    Then the promise "at most once" holds

  Scenario: Answers to captures are lost and the captures are repeated
    Given the trace "payment-timeouts"
    When it is replayed
    Then the promise "at most once" holds

  Scenario: Owners that run keys without a lease are detected
    Given the trace "invoice-run-at-night"
    And owners without lease
    When it is replayed
    Then the promise "at most once" is broken

  Scenario: Lost answers that free the key are detected
    Given the trace "payment-timeouts"
    And lost answers that free the key
    When it is replayed
    Then the promise "at most once" is broken
