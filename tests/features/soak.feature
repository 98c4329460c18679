Feature: Guarantees hold while faults are injected into real processes

  Scenario: A few seconds of faults violate no guarantee
    # Routers are killed, paused, stopped and started; the store, the backend
    # servers and their connections fail in turn. Callers keep sending requests.
    When the soak runs with the seed 7 for 6 seconds
    Then the soak reports no violation

  Scenario: Accounts that contend get their shares, and engines do not idle
    # Guards against an account that gets far less than its share while others are
    # served, and against engines with nothing to read beside refusals. Callers come
    # back after refusals, two accounts come to two routers only, the largest is
    # quiet at first, and an engine is lost for a while.
    When accounts contend with the seed 3 for 18 seconds at 4 routers and 3 engines
    Then the soak reports no violation
