Feature: The operators' pages name all that operators meet

  Scenario: Every counter, gauge, setting and exit code is explained
    # An operator sees a name on a dashboard and finds it on no page, because
    # the code gained it later.
    Given the operators' pages are read
    Then the pages name every counter, gauge and setting
    And the pages give the default of every setting
    And the pages name every exit code

  Scenario: Every reason that the code counts is explained
    Given the operators' pages are read
    Then the pages name every literal reason of refusals, retries and events
