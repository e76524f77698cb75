Feature: The primary fails

  Scenario: The primary is cut off (P2, P6)
    Given a cluster of 3 daemons
    And 12 callers that read and write
    And 25 more writes are acknowledged
    When the failure domain of the primary is cut off
    And another endpoint has become primary
    And 25 more writes are acknowledged
    And the failure domains are connected again
    And 25 more writes are acknowledged
    Then the newest term is above 1
    And the history keeps every guarantee

  Scenario: The primary dies and its last writes are lost (P1)
    Given a cluster of 3 daemons
    And 12 callers that read and write
    And 50 more writes are acknowledged
    When the replicas are 1500 ms behind
    And 60 more writes are acknowledged
    And the primary dies
    And another endpoint has become primary
    And 1 requests have ended as SESSION_WRITE_LOST
    And 60 more writes are acknowledged
    Then the newest term is above 1
    And the history keeps every guarantee

  Scenario: The primary is cut off while the platform is slow
    Given a cluster of 3 daemons
    And 12 callers that read and write
    And 50 more writes are acknowledged
    When each call of the platform takes 300 ms
    And the failure domain of the primary is cut off
    And another endpoint has become primary
    And 25 more writes are acknowledged
    Then the history keeps every guarantee

  Scenario: The primary is cut off while answers of the platform are lost
    Given a cluster of 3 daemons
    And 12 callers that read and write
    And 50 more writes are acknowledged
    When 30 percent of the platform's answers are lost
    And the failure domain of the primary is cut off
    And another endpoint has become primary
    And 25 more writes are acknowledged
    Then the history keeps every guarantee

  Scenario: The primary pauses and comes back as a replaced one
    Given a cluster of 3 daemons
    And 12 callers that read and write
    And 50 more writes are acknowledged
    When the primary pauses
    And another endpoint has become primary
    And the old primary goes on
    And 60 more writes are acknowledged
    Then the history keeps every guarantee
