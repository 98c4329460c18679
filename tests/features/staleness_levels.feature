Feature: A change is in force in time if watchers and relays fail together

  Scenario Outline: A joint fault of watchers and relays does not delay a change
    # The store refuses all watchers, and the relays die at the same time. A
    # listener has no source left, and would serve a dropped route for as long as
    # it waits for them.
    Given followers that must apply a change within <bound> seconds
    When every fault hits both levels at each of several times around a change
    Then every member without a fault applies each change in time

    Examples:
      | bound |
      | 0.5   |
      | 2     |
      | 4     |
      | 10    |
