Feature: A change is in force in time despite faults of instances that relay it

  Three failure domains, each with a watcher and two relays, and in one of them
  also listeners; a store, and a clock that the test advances. The operator's
  promised times form one bound, and each wait is a fraction of this bound.

  Scenario Outline: A fault of watchers or relays does not delay a change
    # A route is dropped. Just before, the store refused the watchers of a
    # failure domain, or they died, froze or were partitioned. An instance there
    # that can reach the store waits for them and serves the old route past the
    # promised time, because the sum of its waits exceeds the bound.
    Given followers that must apply a change within <bound> seconds
    When every fault hits <target> at each of several times around a change
    Then every member without a fault applies each change in time

    Examples:
      | bound | target       |
      | 2     | a watcher    |
      | 0.5   | all watchers |
      | 10    | all watchers |
      | 2     | a relay      |
      | 0.5   | all relays   |
      | 10    | all relays   |

  Scenario Outline: The loss or partition of a failure domain delays no change
    # Half of an instance's sources are lost at the same time, or keep running
    # behind a partition and send it nothing.
    Given followers that must apply a change within <bound> seconds
    When a failure domain with a watcher is lost around a change
    And a failure domain is partitioned from the others around a change
    Then every member without a fault applies each change in time

    Examples:
      | bound |
      | 0.5   |
      | 3     |
      | 10    |

  Scenario Outline: Without faults only watchers call the store
    # Each call to the store is paid for. A listener that polls although its
    # sources send it all changes costs as much as another watcher.
    Given followers that must apply a change within <bound> seconds
    When no fault occurs for 20 bounds, and a version is written <pace>
    Then only watchers call the store after the warm-up

    Examples:
      | bound | pace               |
      | 0.5   | never              |
      | 2     | every 0.9 bounds   |
      | 2     | every 0.75 bounds  |
      | 3     | every 0.61 bounds  |
      | 2     | every 0.35 bounds  |
      | 10    | every 0.1 bounds   |

  Scenario: A watcher that loses the store reports it at once
    # The store refuses all watchers. The next in rank start to watch when they
    # receive the report, and not only when their knowledge has grown old.
    Given followers that must apply a change within 10 seconds
    When the store refuses all watchers, and a version is written at once
    Then every listener applies it within 0.2 seconds

  Scenario: Watchers that lost the store stay replaced while it refuses them
    # The store refuses three watchers and serves the others. They still receive
    # changes from their replacements and relay them. If this made them watchers
    # again, they would displace the replacements, and every instance would poll.
    Given followers that must apply a change within 4 seconds
    When the store refuses all watchers for 4 bounds, and versions are written
    Then after one bound, only they and the next in rank call the store
