Feature: An accepted version comes into force on every instance and never reverts

  Scenario: Versions reach 8 instances despite faults
    # A fifth of the messages is lost, half of the instances can't reach the
    # service, and half of the watches have silently stopped. Operators submit
    # directly to the service, and every instance must apply each version.
    Given a fleet of 8 instances with version 1 of the configuration in force
    And a fifth of the fleet's messages is lost, half of it can't reach the service and half of the watches have silently stopped
    When 6 versions are accepted one after the other
    Then each version was in force on every instance, at the printed times

  Scenario: A version comes into force after all watches silently stopped
    # The service keeps the watches open without sending events. The instances
    # can't distinguish this from a service without changes.
    Given a fleet of 8 instances with version 1 of the configuration in force
    When all watches silently stop and version 2 is accepted
    Then version 2 is in force on every instance

  Scenario: A version comes into force when one instance can reach the service
    # A network fault separates seven of eight instances from the service, but
    # not from each other.
    Given a fleet of 8 instances with version 1 of the configuration in force
    When only one watcher can reach the service and version 2 is accepted
    Then version 2 is in force on every instance

  Scenario: Announcements between peers propagate a version without probes
    # Probes are sent about once a second and would need several rounds to
    # reach 720 instances. Each instance announces a new version immediately.
    Given a fleet of 8 instances with version 1 of the configuration in force
    When the fleet's probes stop, only one watcher can reach the service and version 2 is accepted
    Then version 2 is in force on every instance

  Scenario: An instance that missed all announcements applies the version
    # Guards against an instance that lags for good where no probe reaches it.
    Given a fleet of 16 instances with version 1 of the configuration in force
    When the fleet's probes stop and one instance misses the announcements of version 2
    Then version 2 is in force on every instance
    And an instance counted a missed announcement

  Scenario: An instance whose pulls failed applies the version
    # Guards against an instance that forgets all peers which announced a
    # version, because it could not pull the version from any of them.
    Given a fleet of 16 instances with version 1 of the configuration in force
    When the fleet's probes stop and all pulls fail while version 2 is announced
    Then version 2 is in force on every instance

  Scenario: A lagging peer does not determine the version after a restart
    # An instance is replaced during an outage of the service. The first peer
    # that answers was isolated and still has version 1. If this answer were
    # sufficient, the new instance would put an old version in force.
    Given a fleet of 8 instances with version 1 of the configuration in force
    And one instance of the fleet was isolated before versions 2 and 3 came into force
    When the service goes down, the lagging instance is reachable again and another one restarts 3 times
    Then the restarted instance always started with version 3
    And no instance of the fleet ever reverted to a lower version

  Scenario: An instance that reaches neither the service nor a peer is not ready
    # An instance restarts during an outage and can't reach any peer. With an
    # empty document the instance would refuse the keys of all callers.
    Given a fleet of 8 instances with version 1 of the configuration in force
    When the service is down and one instance restarts isolated from its peers
    Then that instance is not ready while it is isolated
    And that instance is ready with version 1 once it reaches its peers

  Scenario: All instances converge after a partition of the fleet
    # A partition separates half of the fleet from the service. Version 2 is
    # accepted on the other side. After the partition ends, the separated half
    # must apply version 2 and the other half must not revert.
    Given a fleet of 8 instances with version 1 of the configuration in force
    When the fleet is partitioned into halves, one without the service, and version 2 is accepted
    Then version 2 is in force in one half and version 1 in the other
    When the partition of the fleet ends
    Then version 2 is in force on every instance

  Scenario: Damaged parts from a peer are not put in force
    # One part in three that peers send does not match its digest, as after
    # memory corruption of the sender. No instance may put it in force.
    Given a fleet of 8 instances with version 1 of the configuration in force
    When one part in three from peers is damaged and version 2 is accepted
    Then version 2 is in force on every instance
