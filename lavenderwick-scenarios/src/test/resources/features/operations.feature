Feature: Operators change the fleet

  Scenario: A planned change of primary with open transactions (P8)
    Given a cluster of 3 daemons
    And 8 callers that read and write
    And 50 more writes are acknowledged
    When an operator moves the primary
    And 50 more writes are acknowledged
    Then the newest term is above 1
    And no request was cut off
    And the history keeps every guarantee

  Scenario: A planned stop of the primary (P7, P8)
    Given a cluster of 3 daemons
    And 8 callers that read and write
    And 50 more writes are acknowledged
    When a stop of the primary is planned
    And every daemon takes the endpoint for leaving
    And 100 more writes are acknowledged
    Then the leaving endpoint got no new work
    And no request was cut off
    And the history keeps every guarantee

  Scenario: A daemon is drained under load (P8)
    Given a cluster of 3 daemons
    And 8 callers that read and write
    And 50 more writes are acknowledged
    When the lead owner is drained
    And 50 more writes are acknowledged
    Then no request was cut off
    And the history keeps every guarantee

  Scenario: Operators race to change the configuration (P9)
    Given a cluster of 3 daemons
    And 4 callers that read and write
    When 8 operators race to change the configuration 5 times
    And 20 more writes are acknowledged
    Then one operator won each race
    And the newest configuration is in force everywhere
    And no daemon went back to an older configuration
    And the history keeps every guarantee

  Scenario: A cut-off failure domain serves reads and gets the configuration from its peers afterwards (P9)
    Given a cluster of 3 daemons
    And 4 callers that read and write
    And 20 more writes are acknowledged
    When the failure domain of a replica is cut off
    And an operator changes the configuration
    Then the daemons in the cut-off failure domain serve reads of bounded age
    And the newest configuration is in force in the other failure domains only
    When the failure domains are connected again except for the platform
    Then the newest configuration is in force everywhere
    And no daemon went back to an older configuration
    And the history keeps every guarantee
