Feature: A change is in force in time at an instance that the store turns away

  Scenario Outline: A listener without its relays and the store applies a change
    # Guards against a listener that routes by an old version: its relays are
    # lost while the store turns it away, and serves all others. The listener
    # would ask nobody else, and serve a dropped route until one of them is back.
    Given followers that must apply a change within 2 seconds
    When the store gives a listener <answer>, and every fault hits <target> around a change
    Then every member without a fault applies each change in time

    Examples:
      | answer    | target      |
      | errors    | all relays  |
      | errors    | both levels |
      | no answer | all relays  |
      | no answer | both levels |
