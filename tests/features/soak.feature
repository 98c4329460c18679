Feature: Guarantees hold while faults are injected into real processes

  Scenario: A few seconds of faults violate no guarantee
    # Routers are killed, paused, stopped and started; the store, the backend
    # servers and their connections fail in turn. Callers keep sending requests.
    When the soak runs with the seed 7 for 6 seconds
    Then the soak reports no violation
