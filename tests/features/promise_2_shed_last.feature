Feature: Entries, payments, invoices and trust postings are shed last
  In a surge, less important requests such as lookups are shed before them.

  Scenario: Requests surge when the month closes
    Given the trace "month-close-surge"
    When it is replayed
    Then the promise "important shed last" holds
    And at least 99% of the critical requests get whole answers
    And goodput is back within 10 s after second 10

  Scenario: Requests surge when the entries open
    Given the trace "entry-opening-surge"
    When it is replayed
    Then the promise "important shed last" holds

  Scenario: The entries open and every entry fits the capacity
    Given the trace "entry-opening-surge"
    When it is replayed
    Then at least 99% of the critical requests get whole answers

  Scenario: Critical requests of the surge are replayed alone
    Given the trace "entry-opening-surge"
    And only its critical requests
    When it is replayed
    Then at least 99% of the critical requests get whole answers

  Scenario: A gate that inverts the order of the classes is detected
    Given the trace "month-close-surge"
    And classes turned round
    When it is replayed
    Then the promise "important shed last" is broken
