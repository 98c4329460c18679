Feature: The operator documentation covers all names that operators see

  Scenario: Every counter, gauge, setting and exit code is documented
    # Guards against names that were added to the code but not documented, such
    # as a metric that an operator sees on a dashboard.
    Given the operator documentation is read
    Then the documentation names every counter, gauge and setting
    And the documentation states the default of every setting
    And the documentation names every exit code

  Scenario: Every reason that the code counts is documented
    Given the operator documentation is read
    Then the documentation names every literal reason of refusals, retries and events
