Feature: An instance knows how far it is behind

  Background:
    Given an instance whose looks at the clock are due every 0.05 seconds

  Scenario: A loop in time is not behind
    When 3 looks come in time
    Then the instance is 0 seconds behind its work

  Scenario: A look that came late tells of it until the next
    When a look comes 0.3 seconds late
    Then the instance is 0.3 seconds behind its work
    When 1 looks come in time
    Then the instance is 0 seconds behind its work

  Scenario: An instance that stays behind wants no new connections
    # One caller's connections all come to one instance. Those that are open
    # stay; were it to take the next ones, too, it would never catch up.
    When looks come 0.09 seconds late for 1 seconds
    Then the instance wants no new connections
    When 10 looks come in time
    Then the instance wants no new connections
    When 30 looks come in time
    Then the instance takes new connections

  Scenario: One long turn of the loop sends no connections away
    When a look comes 0.3 seconds late
    Then the instance takes new connections

  Scenario: A look that is overdue tells before it comes
    # One long turn of the loop holds all up: requests that it hands over at
    # its end must not pass for fresh because the next look is still to come.
    When no look comes for 1.05 seconds
    Then the instance is 1 seconds behind its work
