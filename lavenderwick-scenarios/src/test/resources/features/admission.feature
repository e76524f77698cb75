Feature: Floods

  Scenario: A flood of the least urgent work, then of the most urgent (P5)
    Given a cluster of 3 daemons
    And 4 callers that read and write
    When the endpoints answer after 30 ms
    And a flood of 60 callers of rank later with deadlines of 100 ms begins
    And 300 requests have been refused as not run
    And a flood of 60 callers of rank urgent with deadlines of 100 ms begins
    And 600 requests have been refused as not run
    Then the history keeps every guarantee

  Scenario: The primary dies during a flood
    Given a cluster of 3 daemons
    And 4 callers that read and write
    When the endpoints answer after 30 ms
    And a flood of 60 callers of rank later with deadlines of 300 ms begins
    And 50 more writes are acknowledged
    And the primary dies
    And another endpoint has become primary
    And 200 more writes are acknowledged
    Then 100 requests have been refused as not run
    And the newest term is above 1
    And the history keeps every guarantee
