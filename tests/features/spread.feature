Feature: An accepted version is in force everywhere, and never reverts

  Scenario: Versions spread over 8 instances with faults
    # A fifth of the messages is lost, half of the instances can't reach the
    # service, and one watch in two has silently stopped. Operators submit
    # straight to the service, and every instance must take each version.
    Given a fleet of 8 instances with version 1 of the configuration in force
    And a fifth of the fleet's messages is lost, half of it can't reach the service and one watch in two says nothing
    When 6 versions are accepted one after the other
    Then each version was in force on every instance, at the times printed

  Scenario: Every watch has silently stopped
    # The service keeps the watches open and says nothing any more. To the
    # instances this looks like a service where nothing changes.
    Given a fleet of 8 instances with version 1 of the configuration in force
    When all watches silently stop and version 2 is accepted
    Then version 2 is in force on every instance

  Scenario: Only one instance can reach the service
    # A network fault cuts seven of eight instances off from the service,
    # but not from one another.
    Given a fleet of 8 instances with version 1 of the configuration in force
    When only one watcher can reach the service and version 2 is accepted
    Then version 2 is in force on every instance

  Scenario: A version goes from peer to peer before any probe tells
    # Probes come about once a second and would bring a version to 720
    # instances in several rounds. Whoever takes it tells others at once.
    Given a fleet of 8 instances with version 1 of the configuration in force
    When the fleet's probes stop, only one watcher can reach the service and version 2 is accepted
    Then version 2 is in force on every instance

  Scenario: A lagging peer does not decide after a restart without memory
    # During an outage an instance is replaced. The first peer that answers
    # was cut off and still has version 1. Had its answer been enough, the
    # new instance would have served a version that was long replaced.
    Given a fleet of 8 instances with version 1 of the configuration in force
    And one instance of the fleet was cut off before versions 2 and 3 came into force
    When the service goes down, the lagging instance is back and another one restarts 3 times
    Then the restarted instance always started with version 3
    And no instance of the fleet ever went back to a lower version

  Scenario: An instance that can ask nobody is not ready
    # An instance restarts during an outage and reaches no peer either. With
    # an empty document it would refuse every caller's key as unknown.
    Given a fleet of 8 instances with version 1 of the configuration in force
    When the service is down and one instance restarts out of everyone's reach
    Then that instance is not ready for as long as it reaches nobody
    And once it reaches its peers it is ready with version 1

  Scenario: Halves of the fleet rejoin
    # A partition leaves half of the fleet without the service. Version 2 is
    # accepted on the other side. After the rejoin the late half must follow,
    # and the early one must not go back.
    Given a fleet of 8 instances with version 1 of the configuration in force
    When the fleet is cut in halves, one without the service, and version 2 is accepted
    Then version 2 is in force in one half and version 1 in the other
    When the halves of the fleet rejoin
    Then version 2 is in force on every instance

  Scenario: A peer that sends damaged parts is passed by
    # One instance's memory is damaged, and it hands out parts that are not
    # what their digests name. Nobody may put them in force.
    Given a fleet of 8 instances with version 1 of the configuration in force
    When one instance in three sends damaged parts and version 2 is accepted
    Then version 2 is in force on every instance
