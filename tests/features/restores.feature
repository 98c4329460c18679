Feature: A store that is restored from an older copy

  The store gives out revisions again that it gave out before, and lacks what was
  written since the copy until it is written again.

  Scenario: A change whose revision was given out before is applied
    # Guards against dropping changes of a restored store. Their revisions are not
    # above those that an instance knows, which then sent requests to a server that
    # was leaving until the counter had passed its own.
    Given an instance on the platform with a plain server in each of the failure domains "a" and "b"
    And a copy of the store, after which 3 versions were written
    When the store is restored from the copy, and 5 changes follow, the first of which says that "plain-a" leaves
    Then the instance knows that "plain-a" leaves
    When 12 requests for "/open/x" come one after the other
    Then each is answered 200
    And the servers in "a" received no request

  Scenario: A server that had left gets no requests from its restored entry
    # Guards against an entry of the copy that says ready for a server that said
    # since that it leaves, and was removed.
    Given servers "s-1", "s-2" and "s-3" of a registry
    When "s-1" says that it leaves, the entry of "s-2" is removed, and "s-4" registers
    And the registry is restored from a copy with "s-1", "s-2" and "s-3"
    Then "s-3" and "s-4" may get requests
    When the entry of "s-4" is written again
    And 6 seconds pass after the restore
    Then "s-2", "s-3" and "s-4" may get requests

  Scenario: A removed server that registers again after a restore gets requests
    # Guards against excluding a server that is alive for longer than needed.
    Given servers "s-1", "s-2" and "s-3" of a registry
    When the entry of "s-2" is removed
    And the registry is restored from a copy with "s-1", "s-2" and "s-3"
    And the entry of "s-2" is written again
    Then "s-1", "s-2" and "s-3" may get requests

  Scenario: An older entry that is written again does not end a leaving
    # Guards against a replay of what the server wrote, oldest first.
    Given servers "s-1", "s-2" and "s-3" of a registry
    When "s-1" says that it leaves
    And the registry is restored from a copy with "s-1", "s-2" and "s-3"
    And the entry of "s-1" is written again
    Then "s-2" and "s-3" may get requests

  Scenario: A server that the copy lacks is removed unless it registers again
    Given servers "s-1", "s-2" and "s-3" of a registry
    When the registry is restored from a copy with "s-1"
    Then "s-1", "s-2" and "s-3" may get requests
    When the entry of "s-2" is written again
    And 6 seconds pass after the restore
    Then "s-1" and "s-2" may get requests

  Scenario: An evacuation that the copy lacks holds until it is written again
    # Guards against sending to an evacuated failure domain meanwhile.
    Given servers "s-1", "s-2" and "s-3" of a registry
    When the failure domain of all servers is evacuated
    And the registry is restored from a copy with "s-1", "s-2" and "s-3"
    Then no server may get requests
    When the failure domain of all servers is evacuated
    And 6 seconds pass after the restore
    Then no server may get requests
    When the registry is restored from a copy with "s-1", "s-2" and "s-3"
    And 6 seconds pass after the restore
    Then "s-1", "s-2" and "s-3" may get requests

  Scenario: A cold time that the copy lacks holds for the restore period
    # Guards against more requests than a cold server tolerates.
    Given servers "s-1", "s-2" and "s-3" of a registry
    When "s-1" is cold for 4 seconds
    And the registry is restored from a copy with "s-1", "s-2" and "s-3"
    Then "s-1" is cold

  Scenario: Instances write their entries again one after the other
    # Guards against a herd of writes when the store is back, and against entries
    # that stay missing until the next renewal of their lease.
    Given 200 instances that are listed in the store
    When the store is restored from a copy without their entries
    Then each instance writes its entry again under a new lease
    And no more than 40 of them do so in the same second

  Scenario: A quarantined request stays quarantined, and its entry is written again
    # Guards against a request that crashes servers and runs again after a restore.
    Given an instance that loaded a quarantined request
    When the store is restored from a copy without its entry
    Then the request is still quarantined
    When 11 seconds pass after the restore
    Then the entry of the request is written again

  Scenario: A comparison with a revision of an earlier era fails
    # Guards against replacing a value that another instance wrote since, under a
    # revision that was given out again.
    Given a client of a store with a key that was read at revision 5
    When the store is restored, and the key is written at revision 5 again
    And the client reads any key
    Then a swap with the revision that was read changes nothing

  Scenario: A write that meets a restore in between is reported as unknown
    # Guards against taking a condition for kept that held by coincidence.
    Given a client of a store with a key that was read at revision 5
    When the store is restored, and the key is written at revision 5 again
    Then a swap with the revision that was read is reported as an answer lost

  Scenario: A lease of an earlier era is not renewed
    # Guards against renewing the lease of another instance, whose number was given
    # out again.
    Given a client of a store that holds a lease granted after a copy
    When the store is restored, and another client gets a lease
    Then the client can not renew its lease

  Scenario: No sequence of restores makes a fleet use what it knew as forbidden
    # Guards against instances that mix two eras: servers that leave, evacuations
    # and versions, with lost messages, restarts and several restores.
    When 60 sequences of changes, restores, lost messages and restarts are drawn
    Then no instance used a server that it knew as leaving
    And all instances learned the state of the store in the end
