Feature: The retry budget holds in any window of any history

  The users count arrivals. In any window of 10 s, at most a fifth of the requests
  may arrive again, plus a slack. The requests are those of that window, of the one
  before, or of the one half a window before, whichever has most.

  Scenario Outline: Retries that wait for a place count when they are sent
    # Guards against a charge at the time of the failure: the retries of a burst
    # would be sent together with those of the next one.
    Given a fleet of <count> instances with steady requests
    When all tries fail from 14 s for 0.5 s, and retries wait up to 8 s for a place
    And all tries fail from 24.6 s for 0.5 s, and retries wait up to 0 s for a place
    Then no window of the fleet has more retries than it may have

    Examples:
      | count |
      | 6     |
      | 80    |

  Scenario Outline: Callers that move between instances don't add to the budget
    # Guards against instances that each count the requests of another window:
    # the one that callers left uses the last window's, the other one this one's.
    Given a fleet of <count> instances with steady requests
    When callers come to the first half of the instances
    And all tries fail from 19.8 s for 0.2 s, and retries wait up to 0 s for a place
    And callers come to the second half of the instances
    And all tries fail from 29.6 s for 0.2 s, and retries wait up to 0 s for a place
    Then no window of the fleet has more retries than it may have

    Examples:
      | count |
      | 6     |
      | 80    |

  Scenario Outline: Replaced processes don't add to the budget
    # Guards against a process that retries by its own requests, while the
    # retries that its predecessor made are in the same window.
    Given a fleet of <count> instances with steady requests
    When all tries fail from 19.8 s for 0.2 s, and retries wait up to 0 s for a place
    And all processes are replaced
    And all tries fail from 29.5 s for 0.2 s, and retries wait up to 0 s for a place
    Then no window of the fleet has more retries than it may have

    Examples:
      | count |
      | 6     |
      | 80    |

  Scenario Outline: No drawn history breaks the budget
    # Guards against combinations: rates that jump, waits for a place, callers that
    # move, processes that are replaced or stand still, instances that join or are
    # cut off from the store, and a store that is down or loses its entries.
    When <histories> histories of <count> instances are drawn
    Then none has a window with more retries than it may have

    Examples:
      | histories | count |
      | 60        | 6     |
      | 6         | 80    |
