Feature: What always holds, on real processes while faults happen

  Scenario: A dispatching router is killed under load
    # Agencies' callers are served through three routers. The one that
    # dispatches crashes; callers at the others must still get their own
    # answers, and the slots that it had granted must not be lost with it.
    Given a promises' fleet under load of 3 accounts
    When the promises' fleet loses a router that dispatches
    Then callers at the other routers of the promises' fleet got whole answers
    And all slots of the promises' fleet come into use again
    And no engine of the promises' fleet got more than its slots and one router's grants
