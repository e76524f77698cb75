Feature: Answers and connections fail

  Scenario Outline: Answers of the endpoints are <fault> (P4)
    Given a cluster of 3 daemons
    And 8 callers that read and write
    When <percent> percent of the answers of the endpoints are <fault>
    And 100 more writes are acknowledged
    And 100 more reads are answered
    Then faults of answers occurred
    And the history keeps every guarantee

    Examples:
      | fault        | percent |
      | LOST         | 2       |
      | DISCONNECTED | 5       |
      | CUT_SHORT    | 5       |
      | STRAY_BEFORE | 5       |
      | STRAY_AFTER  | 5       |

  Scenario: A lost answer is repeated at another daemon with the same idempotency key (P6)
    Given a cluster of 3 daemons
    And 4 callers that read and write
    And 20 more writes are acknowledged
    When the callers stop
    And the answers to 5 writes with idempotency keys are lost after their effect
    Then a repeated write was acknowledged and committed once
    And the history keeps every guarantee

  Scenario: Open connections go silent for good while new ones work
    Given a cluster of 3 daemons
    And 8 callers that read and write
    And 50 more writes are acknowledged
    When all open connections to the endpoints go silent
    And all open connections between daemons go silent
    And 100 more writes are acknowledged
    Then the history keeps every guarantee

  Scenario: A caller leaves its transaction open (P3)
    Given a cluster of 3 daemons
    And 8 callers that read and write
    When 3 callers leave their transactions open
    And 100 more writes are acknowledged
    Then the open transactions are rolled back
    And the history keeps every guarantee

  Scenario: A daemon dies inside transactions (P3)
    Given a cluster of 3 daemons
    And 8 callers that read and write
    When 3 callers leave their transactions open
    And the lead owner dies
    And 100 more writes are acknowledged
    Then the open transactions are rolled back
    And the history keeps every guarantee

  Scenario: A daemon dies inside transactions while connections go silent
    Given a cluster of 3 daemons
    And 8 callers that read and write
    When 3 callers leave their transactions open
    And all open connections to the endpoints go silent
    And the lead owner dies
    And 100 more writes are acknowledged
    Then the open transactions are rolled back
    And the history keeps every guarantee
