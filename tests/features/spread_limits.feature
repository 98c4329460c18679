Feature: The configuration stays inside the key-value service's limits

  Scenario: A fleet that starts at once stays inside the service's limits
    # All instances come back at once, without memory and without knowing one
    # another. If each read the service as fast as it can, the burst would
    # bring it down again. The target's 720 instances may take 2,000 reads a
    # second; this is a sixth of both.
    Given a service with version 1 of a configuration of 2100 accounts
    When 120 instances start at once, idle, see a change, and come back after an outage
    Then the service never got more than 333 reads in a second
