Feature: The simulation detects a wait that exceeds its fraction of the bound

  Scenario Outline: A changed fraction makes a change late or adds calls
    # Changes are in time only while the sum of the waits stays below the bound.
    # This test fails if the simulation can't detect that one wait is too long,
    # or so short that instances poll the store needlessly.
    Given followers that must apply a change within 2 seconds
    And the fraction <fraction> of the bound is <value>
    When every fault hits <target> at each of several times around a change
    And no fault occurs for 20 bounds, and a version is written every 0.61 bounds
    Then a member is late, or calls the store needlessly

    Examples:
      | fraction                      | value | target       |
      | _POLL_FRACTION                | 1.8   | both levels  |
      | _FALLBACK_POLL_FRACTION       | 1.25  | both levels  |
      | _FALLBACK_POLL_FRACTION       | 0.2   | both levels  |
      | _RELAY_FALLBACK_POLL_FRACTION | 0.2   | both levels  |
      | _RELAY_FALLBACK_POLL_FRACTION | 1.25  | all watchers |
      | _STAMP_INTERVAL_FRACTION      | 0.5   | both levels  |
      | _MIN_POLL_FRACTION            | 0.9   | both levels  |
