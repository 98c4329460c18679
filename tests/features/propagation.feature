Feature: Versions come into force on router processes under load and faults

  Scenario: Eight routers under load apply versions despite stopped watches and a partition
    # Operators submit versions while callers are served. Watches send nothing,
    # answers are lost, one router is separated from its peers and another one
    # is killed and restarted. Every router must still apply the last version.
    Given 8 routers with a configuration in force, a proxy between them and callers
    When 8 versions are submitted to the service while it loses answers and watches send no events
    Then every router put the last version in force and none ever reverted
    And the times until versions came into force are printed
