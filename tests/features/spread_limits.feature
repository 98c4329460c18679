Feature: The configuration respects the limits of the key-value service

  Scenario: A simultaneous start of the fleet respects the service's limits
    # All instances start simultaneously, without a version and without a list
    # of members. Unlimited reads of all of them would overload the service
    # again. The target's 720 instances may make 2,000 reads per second; this
    # scenario uses a sixth of both.
    Given a service with version 1 of a configuration of 2100 accounts
    When 120 instances start simultaneously, idle, apply a change and restart during an outage
    Then the service never received more than 333 reads in a second
