Feature: The platform fails

  Scenario: The platform is down for the whole scenario, refusing and then hanging
    Given a cluster of 3 daemons
    And 6 callers that read and write
    And 20 more writes are acknowledged
    When the platform is down
    And 200 more writes are acknowledged
    And 200 more reads are answered
    And the platform hangs
    And 200 more writes are acknowledged
    And 200 more reads are answered
    And the platform is up again
    And an operator changes the configuration
    Then the newest configuration is in force everywhere
    And no daemon went back to an older configuration
    And the history keeps every guarantee

  Scenario: The platform is slow and loses answers while operators change the configuration
    Given a cluster of 3 daemons
    And 6 callers that read and write
    When each call of the platform takes 200 ms
    And 30 percent of the platform's answers are lost
    And an operator changes the configuration
    And 200 more writes are acknowledged
    Then the newest configuration is in force everywhere
    And no daemon went back to an older configuration
    And the history keeps every guarantee
