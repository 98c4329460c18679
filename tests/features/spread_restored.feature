Feature: A key-value service restored with older data is reported

  Scenario: A service restored with an older version is reported and not applied
    # The platform restores the service from a backup. If the fleet reverted to
    # it, accounts that were added since would be refused on every instance.
    Given a fleet of 8 instances with version 1 of the configuration in force
    When versions 2 and 3 are accepted and the service is restored to version 1
    Then every watcher of the fleet reports that the service is outdated
    And version 3 is in force on every instance
    When a router of the fleet submits with base version 3
    Then version 4 is in force on every instance
    And no watcher of the fleet reports that the service is outdated

  Scenario: Two documents with the same version number are reported
    # After such a restore versions are submitted directly to the service up to
    # the number in force. Neither document may silently replace the other.
    Given a fleet of 8 instances with version 1 of the configuration in force
    When versions 2 and 3 are accepted, the service is restored to version 1 and two others are submitted
    Then a watcher of the fleet reports two documents with the same number
    And version 3 is in force on every instance
    When a router of the fleet submits with base version 3
    Then version 4 is in force on every instance
