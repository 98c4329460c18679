Feature: The platform's key-value service and instance list are used safely

  Scenario: A value is swapped only against the revision it was read at
    Given a key-value service
    When the key-value key "a" is swapped from absent to "one"
    Then the key-value swap succeeded
    And the key-value key "a" holds "one"
    When the key-value key "a" is swapped from absent to "two"
    Then the key-value swap lost
    And the key-value key "a" holds "one"
    When the key-value key "a" is swapped from its revision to "three"
    Then the key-value swap succeeded
    And the key-value prefix holds "three"
    And the key-value calls "txn" counted 3 here and at the service

  Scenario: A delete is refused against another revision
    Given a key-value service
    When the key-value key "a" is swapped from absent to "one"
    Then the key-value key "a" is deleted only at its own revision

  Scenario: A write whose answer is lost is told from one that surely failed
    # An operator submits a version. The service takes it in, and the answer
    # is lost on its way back. If the client said 'failed', the operator
    # would submit again and meet a conflict with his own change; if the
    # library sent the call again by itself, it would lose against itself.
    Given a key-value service
    And the key-value service loses its answers after the effect
    When the key-value key "a" is swapped from absent to "one"
    Then the key-value swap ended in AnswerLost
    And the key-value calls "txn" counted 1 here and at the service
    And the key-value failures count 1 "answer_lost"
    And the key-value key "a" holds "one"

  Scenario: A write whose answer does not come in time may have landed
    # The service is slow. The writer gives up at its limit, the service goes
    # on and writes all the same: 'failed' would be untrue.
    Given a key-value service
    And the key-value service answers after 3 seconds
    When the key-value key "a" is swapped from absent to "one"
    Then the key-value swap ended in AnswerLost
    And the key-value client still has all its places after 40 such calls

  Scenario: A service that stops reading holds no place of the client
    # The service's machine is overloaded and takes no more bytes: each call
    # ends in the midst of sending. If such a call kept its place in the
    # pool, the client would be stuck for good after sixteen of them.
    Given a key-value service
    And the key-value connections pass no more bytes on
    When 20 large key-value swaps end in AnswerLost
    And the key-value connections are cut
    And the key-value connections pass bytes on again
    And the key-value key "a" is swapped from absent to "one"
    Then the key-value swap succeeded

  Scenario: A service that can't be reached has surely changed nothing
    # The service's process is gone: the kernel refuses the connection, so
    # that no byte of the write has left. The caller may say 'not run'.
    Given a key-value service
    And the key-value connections are refused
    When the key-value key "a" is swapped from absent to "one"
    Then the key-value swap ended in PlatformUnavailable
    And the key-value failures count 1 "unavailable"
    When the key-value connections are accepted again
    And the key-value key "a" is swapped from absent to "one"
    Then the key-value swap succeeded

  Scenario: A pooled connection that the service closed is no failure
    # The service restarts between two calls. The idle connection that the
    # client kept is dead; a write over it would end as 'may have landed'
    # although nothing is wrong by now.
    Given a key-value service
    When the key-value key "a" is swapped from absent to "one"
    And the key-value connections are cut
    And the key-value key "b" is swapped from absent to "two"
    Then the key-value swap succeeded

  Scenario: In an outage reads fail and writes are not called failed
    # Connections are accepted and closed without a word, as by a balancer
    # without a live service behind it.
    Given a key-value service
    And the key-value service is down
    When the key-value key "a" is swapped from absent to "one"
    Then the key-value swap ended in AnswerLost
    And reading the key-value key "a" ends in PlatformUnavailable

  Scenario: A value above a megabyte is refused before it is sent
    Given a key-value service
    When the key-value key "a" is swapped from absent to a value too large
    Then the key-value swap ended in PlatformRefused
    And the key-value calls "txn" counted 0 here and at the service

  Scenario: A watch tells of changes from a revision on, and of deletions
    Given a key-value service
    When the key-value key "a" is swapped from absent to "one"
    And a key-value watch starts above what was read
    And the key-value key "b" is swapped from absent to "two"
    And the key-value key "b" is deleted
    Then the key-value watch tells of "b" as "two"
    And the key-value watch tells of "b" as deleted
    And the key-value calls "watch" counted alike here and there

  Scenario: A watch that silently stops ends by itself
    # A watch stays open and says nothing any more. An instance that trusted
    # it would keep an old configuration for ever.
    Given a key-value service
    And a key-value watch with a quiet limit of 1 second
    And the key-value watches go silent
    When the key-value key "b" is swapped from absent to "two"
    Then the key-value watch ends without telling of it
    And the key-value failures count 1 "watch_quiet"

  Scenario: A watch ends with the service's connection
    Given a key-value service
    And a key-value watch with a quiet limit of 20 seconds
    When the key-value connections are cut
    Then the key-value watch ends without telling of it

  Scenario Outline: A refused write has surely changed nothing
    # The service is busy, or turns this instance away, and says so. Were
    # that told as 'may have landed', a writer would read and wait for
    # nothing, and an operator would be told less than is known.
    Given a key-value service
    And the key-value service answers every call with <status>
    When the key-value key "a" is swapped from absent to "one"
    Then the key-value swap ended in PlatformUnavailable
    And the key-value failures count 1 "<reason>"

    Examples:
      | status | reason      |
      | 429    | throttled   |
      | 503    | unavailable |

  Scenario: Changes that the service forgot are not passed over
    # While a watch was cut the service dropped its history. Going on from
    # the present would miss what changed meanwhile, such as a server that
    # left, for good.
    Given a key-value service
    When the key-value key "a" is swapped from absent to "one"
    And the key-value service forgets its history
    Then following the key-value service from before ends in HistoryLost

  Scenario: A long list is read whole, page by page
    Given a key-value service
    When 9 key-value keys of 300000 bytes are written
    Then all 9 of them are read, in 3 calls or more

  Scenario: A key under a lease goes with it
    Given a key-value service
    When a key-value key is written under a lease of 0.3 seconds
    Then the key-value key is gone once the lease has ended

  Scenario: An instance that starts again takes up its entry
    # All machines lose their power and come back together. A lease and a
    # write of each, for entries that are right already, would be most of what
    # they ask of the store in that moment.
    Given a key-value service
    And the instance "hn-a-1" lists itself in the store
    Then the instance list shows "hn-a-1" alone
    When the instance "hn-a-1" starts again and has read the store
    Then it renewed the lease of its entry, and wrote nothing

  Scenario: Instances list themselves, and an outage is told
    Given a key-value service
    And the instance "hn-a-1" lists itself in the store
    And an entry among the instances that can not be read
    Then the instance list shows "hn-a-1" alone
    Given the key-value service is down
    Then reading the instance list ends in PlatformUnavailable
