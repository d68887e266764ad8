Feature: Retries for one request stay bounded across the whole call chain
  The bound holds at any depth of the chain, whichever service retries.

  Scenario: Answers to captures and to call chains 13 deep are lost
    Given the trace "payment-timeouts"
    When it is replayed
    Then the promise "retries bounded" holds
    And no chain of 13 calls takes more than 52 attempts

  Scenario: Clients retry hard when the month closes
    Given the trace "month-close-surge"
    When it is replayed
    Then the promise "retries bounded" holds
    And there are at most 1.1 attempts for each call

  Scenario: A separate allotment for each hop is detected
    Given the trace "payment-timeouts"
    And an allotment for each hop
    When it is replayed
    Then the promise "retries bounded" is broken
