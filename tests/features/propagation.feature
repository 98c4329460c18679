Feature: Versions come into force on real routers, under load and faults

  Scenario: Eight routers under load, with a silent service and a partition
    # Operators submit versions while callers are served. Watches say nothing,
    # answers are lost, one router is cut off from its peers and another one
    # is killed and restarted. Every router must still take every version.
    Given 8 routers with a configuration in force, a proxy between them and callers
    When 8 versions are submitted to the service while it loses answers and watches are silent
    Then every router took the last version in force, and none ever a lower one
    And the times until versions were in force are printed
