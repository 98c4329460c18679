Feature: Two watchers of a failure domain tell the others what changed

  A listener, a watcher and a store in one process, with a clock that the test
  moves; messages are delivered when the test says so.

  Scenario: A change that a watcher hears is in force at a listener
    Given a listener and its watcher before a store
    When the operator writes version 2 and the watcher hears of it
    Then version 2 is in force at the listener
    And the listener made no call for it

  Scenario: News that was held up does not pass for fresh
    # A partition holds the watcher's message up for six seconds and then lets
    # it through. Meanwhile a key was revoked. If the listener took the message
    # for news of this moment, it would go on admitting the key.
    Given a listener and its watcher before a store
    When the watcher's message is held up for 6 seconds
    Then the listener's knowledge is 6 seconds old or more

  Scenario: A stamp that came after the confirmation is not echoed
    # The watcher knew at one moment that nothing had changed; the listener's
    # stamp is younger. Echoed, it would confirm what nobody checked.
    Given a listener and its watcher before a store
    When the listener sends a stamp 2 seconds after the watcher's last answer
    And the watcher passes on what it knew
    Then the listener's knowledge is not confirmed by it

  Scenario: A listener that missed something asks the store itself
    Given a listener and its watcher before a store
    When a message is lost, and the next tells of version 3
    Then the listener asks the store, and version 3 is in force

  Scenario: A listener whose watchers are silent asks the store itself
    Given a listener and its watcher before a store
    When the watchers say nothing for 4 seconds
    Then the listener asks the store, and its knowledge is fresh

  Scenario: A version that is passed on late never replaces a newer one
    Given a listener and its watcher before a store
    When the listener learns version 3, and then a message tells of version 2
    Then version 3 is in force at the listener
