Feature: Watchers of the store relay its changes to listeners

  A listener, a watcher and a store in one process. The test advances the clock
  and decides when messages are delivered.

  Scenario: A change that a watcher receives is applied by a listener
    Given a listener, its watcher and a store
    When the operator writes version 2 and the watcher receives it
    Then version 2 is in force at the listener
    And the listener did not call the store

  Scenario: A delayed message does not confirm recent knowledge
    # A partition delays the watcher's message by six seconds and then delivers
    # it. A key was revoked in that time. If the listener took the arrival time
    # of the message as its age, it would keep admitting the key.
    Given a listener, its watcher and a store
    When the watcher's message is delayed by 6 seconds
    Then the listener's knowledge is 6 seconds old or more

  Scenario: A stamp that arrives after the confirmation is not echoed
    # The watcher last knew at some time that nothing had changed, and the
    # listener's stamp is younger. Its echo would confirm a time never checked.
    Given a listener, its watcher and a store
    When the listener sends a stamp 2 seconds after the watcher's last answer
    And the watcher relays what it knew
    Then the listener's knowledge is not confirmed again

  Scenario: A listener that lost a message gets its changes from its source
    # A connection breaks and loses a message. The next message begins after the
    # listener's revision. If each listener then polled the store, the restart of
    # a relay would cost as many calls as it has listeners.
    Given a listener, its watcher and a store
    When a message is lost, and the next contains version 3
    Then the listener asks its source again, and version 3 is applied

  Scenario: A listener with silent watchers polls the store itself
    Given a listener, its watcher and a store
    When the watchers send nothing for 4 seconds
    Then the listener polls the store, and its knowledge is recent

  Scenario: A listener with silent watchers uses a long poll
    # The store refuses both watchers of a failure domain. If each listener there
    # only read the store once a second, an engine that announces between two
    # reads that it leaves would keep getting requests.
    Given a listener, its watcher and a store
    When the watchers send nothing for 4 seconds
    Then the listener waits for the next change in a long poll

  Scenario: A listener with killed watchers applies a version in time
    # Both watchers of a failure domain were just killed and still count as
    # alive. A version is written. The listener waits for the watchers, and
    # serves a route that was dropped two seconds before.
    Given a listener, its watcher and a store
    When the operator writes version 2 and the watchers send nothing for 1.45 seconds
    Then the listener polls the store, and version 2 is in force

  Scenario: A listener does not call the store while its watcher polls
    Given a listener, its watcher and a store
    When the watcher polls for 8 seconds without a change
    Then the listener did not call the store

  Scenario: A listener does not rely on a watcher that the store doesn't answer
    # The watcher's own connection to the store went silent. If listeners took
    # its being alive as confirmation, they would trust outdated knowledge, and
    # serve a dropped route past the promised time.
    Given a listener, its watcher and a store
    When the watcher gets stamps, but no answer for 1.6 seconds
    Then the listener has to poll the store itself

  Scenario: A version that is relayed late never replaces a newer one
    Given a listener, its watcher and a store
    When the listener applies version 3, and then a message contains version 2
    Then version 3 is in force at the listener

  Scenario: An answer of the store does not undo a newer relayed change
    # A listener polls the store. While the answer is in transit a server leaves,
    # and a watcher relays that first. If the answer's older entry were applied
    # after it, the server would get requests permanently.
    Given a listener, its watcher and a store
    When a server registers, and leaves while the listener's poll is answered
    Then the listener does not list the server

  Scenario: A listener that is ahead of its watcher relies on it again
    # Watchers were lost for a moment, and listeners poll the store. While
    # servers come and go, listeners are always one change ahead of what their
    # watchers relay. If only messages as new as their own knowledge confirmed
    # it, they would keep polling: 6,000 calls of 80 instances in a busy minute.
    Given a listener, its watcher and a store
    When the listener had to poll, and its watcher relays an earlier change
    Then the listener need not poll

  Scenario: A source that can't send missed changes is not asked repeatedly
    # A relay restarts and reads the store after a change that its listener has
    # not received. It can't send that change, and each of its messages shows it.
    # A listener that asked again for each message would do so a few hundred
    # times a second, and serve an old route until its knowledge is too old.
    Given a listener, its watcher and a store
    When the watcher relays changes that follow one that it can not send
    Then the listener sends one additional stamp
    And the listener polls the store, and version 3 is in force

  Scenario: A listener that hears of a restored store reads it
    # Guards against a listener that takes changes of a restored store for the next
    # of those that it knows, and lacks what was written before the watcher's read.
    Given a listener, its watcher and a store
    When the store is restored and version 2 written, which the watcher relays
    Then nothing is confirmed at the listener by that message
    And the listener reads the store, and version 2 is in force

  Scenario: A message from before a restore changes nothing after it
    # Guards against a source that has not noticed the restore yet.
    Given a listener, its watcher and a store
    When the listener follows a restored store, and a message of the earlier era arrives
    Then the listener still follows the restored store
