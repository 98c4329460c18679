Feature: A key-value service that came back with older data is refused loudly

  Scenario: A service restored with an older version is refused loudly
    # The platform restores the service from a backup. Had the fleet followed,
    # accounts that were added since would be refused everywhere.
    Given a fleet of 8 instances with version 1 of the configuration in force
    When versions 2 and 3 are accepted and the service is restored to version 1
    Then every watcher of the fleet reports that the service is outdated
    And version 3 is in force on every instance
    When a router of the fleet submits on top of version 3
    Then version 4 is in force on every instance
    And no watcher of the fleet reports that the service is outdated

  Scenario: Two documents with one version number are reported
    # After such a restore somebody submits straight to the service, past the
    # fleet, until the numbers meet. Neither document may silently win.
    Given a fleet of 8 instances with version 1 of the configuration in force
    When versions 2 and 3 are accepted, the service is restored to version 1 and two others submitted
    Then a watcher of the fleet reports two documents with one number
    And version 3 is in force on every instance
    When a router of the fleet submits on top of version 3
    Then version 4 is in force on every instance
