Feature: Clients of the platform's key-value service handle its failures

  Scenario: A swap only succeeds at the expected revision
    Given a key-value service
    When the key-value key "a" is swapped from absent to "one"
    Then the key-value swap succeeded
    And the key-value key "a" holds "one"
    When the key-value key "a" is swapped from absent to "two"
    Then the key-value swap fails its comparison
    And the key-value key "a" holds "one"
    When the key-value key "a" is swapped from its current revision to "three"
    Then the key-value swap succeeded
    And the key-value prefix holds "three"
    And the key-value calls "txn" count 3 at the client and at the service

  Scenario: A delete only succeeds at the expected revision
    Given a key-value service
    When the key-value key "a" is swapped from absent to "one"
    Then the key-value key "a" can be deleted only at its current revision

  Scenario: A write whose answer is lost is not reported as failed
    # An operator submits a version. The service applies the write, but its
    # answer is lost. If the client reported a failure, the operator would
    # submit again and get a conflict with the first submission. If the HTTP
    # library retried the call, the retry would fail its own comparison.
    Given a key-value service
    And the key-value service drops its answers after applying the calls
    When the key-value key "a" is swapped from absent to "one"
    Then the key-value swap raised AnswerLost
    And the key-value calls "txn" count 1 at the client and at the service
    And the key-value failures count 1 "answer_lost"
    And the key-value key "a" holds "one"

  Scenario: A write that times out is not reported as failed
    # The service is slow. The client's time limit expires, but the service
    # continues and applies the write, so the client must not report failure.
    Given a key-value service
    And the key-value service answers after 3 seconds
    When the key-value key "a" is swapped from absent to "one"
    Then the key-value swap raised AnswerLost
    And the key-value client can still make calls after 40 calls that time out

  Scenario: Calls to a service that stops reading release their call slots
    # The service's machine is overloaded and accepts no more bytes, so each
    # call times out while it sends. If such a call kept its slot in the
    # pool, the client would be blocked for ever after sixteen such calls.
    Given a key-value service
    And the key-value connections stop forwarding bytes
    When 20 large key-value swaps raise AnswerLost
    And the key-value connections are cut
    And the key-value connections forward bytes again
    And the key-value key "a" is swapped from absent to "one"
    Then the key-value swap succeeded

  Scenario: A refused connection is reported as a write without effect
    # The service's process has ended and the kernel refuses the connection,
    # so no byte of the write was sent. The caller may report 'not run'.
    Given a key-value service
    And the key-value connections are refused
    When the key-value key "a" is swapped from absent to "one"
    Then the key-value swap raised PlatformUnavailable
    And the key-value failures count 1 "unavailable"
    When the key-value connections are accepted again
    And the key-value key "a" is swapped from absent to "one"
    Then the key-value swap succeeded

  Scenario: A pooled connection that the service closed is replaced
    # The service restarts between two calls, which closes the client's idle
    # connection. A write over that connection would be reported as possibly
    # applied although the service is available again.
    Given a key-value service
    When the key-value key "a" is swapped from absent to "one"
    And the key-value connections are cut
    And the key-value key "b" is swapped from absent to "two"
    Then the key-value swap succeeded

  Scenario: In an outage reads fail and writes have an unknown outcome
    # Connections are accepted and closed without an answer, as by a load
    # balancer that has no live service.
    Given a key-value service
    And the key-value service is down
    When the key-value key "a" is swapped from absent to "one"
    Then the key-value swap raised AnswerLost
    And reading the key-value key "a" raises PlatformUnavailable

  Scenario: A value above one megabyte is refused before it is sent
    Given a key-value service
    When the key-value key "a" is swapped from absent to a value that is too large
    Then the key-value swap raised PlatformRefused
    And the key-value calls "txn" count 0 at the client and at the service

  Scenario: A watch reports changes from a revision on, including deletions
    Given a key-value service
    When the key-value key "a" is swapped from absent to "one"
    And a key-value watch starts above the revision of key "a"
    And the key-value key "b" is swapped from absent to "two"
    And the key-value key "b" is deleted
    Then the key-value watch reports "b" as "two"
    And the key-value watch reports "b" as deleted
    And the key-value calls "watch" have equal counts at the client and the service

  Scenario: A watch that gets no answer ends after its idle timeout
    # A watch stays open but gets no more answers. Without an idle timeout
    # the instance would keep an old configuration for ever.
    Given a key-value service
    And a key-value watch with an idle timeout of 1 second
    And the key-value service stops answering watches
    When the key-value key "b" is swapped from absent to "two"
    Then the key-value watch ends without reporting the change
    And the key-value failures count 1 "watch_quiet"

  Scenario: A watch ends when its connection is closed
    Given a key-value service
    And a key-value watch with an idle timeout of 20 seconds
    When the key-value connections are cut
    Then the key-value watch ends without reporting the change

  Scenario Outline: A write refused by status is reported as without effect
    # The service reports that it is busy or that it throttles this instance.
    # If the outcome were reported as unknown, a writer would read and wait
    # needlessly, and an operator would get less information than is known.
    Given a key-value service
    And the key-value service answers every call with <status>
    When the key-value key "a" is swapped from absent to "one"
    Then the key-value swap raised PlatformUnavailable
    And the key-value failures count 1 "<reason>"

    Examples:
      | status | reason      |
      | 429    | throttled   |
      | 503    | unavailable |

  Scenario: Changes that the service dropped are not skipped
    # The service dropped its history while a watch was interrupted. A watch
    # that continued from the current revision would never report the changes
    # in between, such as the removal of a server.
    Given a key-value service
    When the key-value key "a" is swapped from absent to "one"
    And the key-value service drops its history
    Then polling the key-value service from an old revision raises HistoryLost

  Scenario: All pages of a long list are read
    Given a key-value service
    When 9 key-value keys of 300000 bytes are written
    Then all 9 keys are read in at least 3 calls

  Scenario: A key is deleted when its lease ends
    Given a key-value service
    When a key-value key is written under a lease of 0.3 seconds
    Then the key-value key is deleted when its lease ends

  Scenario: A restarted instance renews the lease of its stored entry
    # After a power failure all machines restart together. If each instance
    # requested a lease and wrote an entry that is already correct, these
    # calls would be most of the store's load at that time.
    Given a key-value service
    And the instance "hn-a-1" lists itself in the store
    Then the instance list contains only "hn-a-1"
    When the instance "hn-a-1" restarts and reads the store
    Then the restarted instance renews the lease of its entry and writes nothing

  Scenario: Instances list themselves, and a failed read raises an error
    Given a key-value service
    And the instance "hn-a-1" lists itself in the store
    And instance entries that can not be decoded
    Then the instance list contains only "hn-a-1"
    Given the key-value service is down
    Then reading the instance list raises PlatformUnavailable
