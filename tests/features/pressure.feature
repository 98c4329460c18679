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
    When 40 looks come in time
    Then the instance takes new connections

  Scenario: One long turn of the loop sends no connections away
    When a look comes 0.3 seconds late
    Then the instance takes new connections

  Scenario: A look that is overdue tells before it comes
    # One long turn of the loop holds all up: requests that it hands over at
    # its end must not pass for fresh because the next look is still to come.
    When no look comes for 1.05 seconds
    Then the instance is 1 seconds behind its work

  Scenario: Connections of an instance that stays hot are closed
    # A caller keeps hundreds of connections open, all to one instance. The
    # platform sends it no new ones, but those stay, and so does their load.
    # Closed at once, they would come back: the platform has not turned yet.
    When looks come 0.09 seconds late for 1 seconds
    Then its open connections are not closed after their answers
    When looks come 0.09 seconds late for 3 seconds
    Then its open connections are closed after their answers
    When 60 looks come in time
    Then its open connections are not closed after their answers

  Scenario: An instance that falls behind gathers events, and soon
    # Relaying each event by itself takes more than the instance has. All of
    # its streams come late, though three events at once cost as much as one.
    Then it gathers events for 0 seconds
    When looks come 0.01 seconds late for 3 seconds
    Then it gathers events for 0.03 seconds
    When looks come 0.09 seconds late for 3 seconds
    Then it gathers events for 0.08 seconds

  Scenario: What came meanwhile is passed on at once
    # A stream's engine makes an event each 0.03 seconds. Passed on one by one,
    # ten of them cost ten reads and ten writes.
    When a stream of 10 events, one each 0.03 seconds, is gathered for 0.08 seconds
    Then its caller gets all 10 in 5 writes, the first by itself

  Scenario: A calm instance passes each event on by itself
    When a stream of 10 events, one each 0.03 seconds, is gathered for 0 seconds
    Then its caller gets all 10 in 10 writes, the first by itself
