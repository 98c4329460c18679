Feature: A non-idempotent request runs at most once under its key

  Scenario: Concurrent claims of one key are granted once
    # Guards against a double booking: the caller times out and retries at
    # another instance while the first instance is about to send the request.
    Given a claim fleet with 3 instances
    When the key "b-1" is claimed at 3 instances at once
    Then exactly 1 claim was granted and 2 failed with "in_progress"
    When the granted claim is settled as done
    And the key "b-1" is claimed again
    Then the claim fails with "already_done"
    And a delayed withdrawal leaves the claim done

  Scenario: Instances that disagree on the collector grant a key once
    # In a partition, each instance considers itself the collector, and all
    # write the same shard at once. Only compare-and-swap prevents two grants.
    Given a claim fleet with 4 instances
    And each instance considers itself the only live instance
    When the key "a-1" is claimed at 4 instances at once
    Then exactly 1 claim was granted and 3 failed with "claim_unknown"
    When the key "b-1" is claimed at 4 instances at once
    Then exactly 1 claim was granted and 3 failed with "claim_unknown"

  Scenario: A key can be claimed again if its request was not run
    Given a claim fleet with 3 instances
    When the key "b-1" is claimed at 1 instances at once
    And the granted claim is settled as not run
    And the key "b-1" is claimed again
    Then the claim is granted

  Scenario: A claim is not refused because of an outdated cached shard
    # One instance has cached the claim as running, and another one stored that
    # it was not run. The first must read the shard before it refuses a claim.
    Given a claim fleet with 2 instances
    And each instance considers itself the only live instance
    When the key "b-1" is claimed at 1 instances at once
    And the granted claim is settled as not run through the other instance
    And the key "b-1" is claimed again
    Then the claim is granted

  Scenario: Claims of many callers are written in few swaps
    # The service handles several hundred writes per second, and the fleet gets
    # hundreds of bookings: one write for each would exhaust the service.
    Given a claim fleet with 4 instances that group claims for 0.2 seconds
    When 200 keys are claimed at all instances one by one
    Then all 200 claims were granted
    And the claims took at most 40 swaps

  Scenario: A claim whose write succeeded without an answer is granted
    # The write took effect, but its answer was lost. Without a check of the
    # claim id, a second write would find the key held and refuse the request.
    Given a claim fleet with 2 instances
    And the next claim swap has the fault "lost_answer"
    When the key "b-1" is claimed at 1 instances at once
    Then exactly 1 claim was granted and 0 failed with "in_progress"

  Scenario: A swap that is processed after its repetition has no effect
    # The service delays a swap past the time limit, accepts a second try of
    # the same claim, and then processes the first, whose comparison fails.
    Given a claim fleet with 2 instances
    And the next claim swap has the fault "delayed"
    When the key "b-1" is claimed at 1 instances at once
    And the service processes the delayed claim swaps
    Then exactly 1 claim was granted and 0 failed with "in_progress"
    When the key "b-1" is claimed again
    Then the claim fails with "in_progress"

  Scenario: Claims are refused during an outage and granted afterwards
    Given a claim fleet with 2 instances
    And the key-value service of the claims is down
    When the key "b-1" is claimed at 2 instances at once
    Then no claim was granted and 2 failed with "claims_unavailable"
    When the key-value service of the claims is up
    And the key "b-1" is claimed again
    Then the claim is granted

  Scenario: A claim stored just before an outage does not block its key
    # The swap took effect, but the service failed before the claim could be
    # read back. The caller got 'not run', which must remain true, and the
    # stored claim, whose request never runs, must not block a retry.
    Given a claim fleet with 2 instances
    And the next claim swap has the fault "lost_answer_and_outage"
    When the key "b-1" is claimed at 1 instances at once
    Then no claim was granted and 1 failed with "claims_unavailable"
    When the key-value service of the claims is up
    And all settlements are stored
    And the key "b-1" is claimed again
    Then the claim is granted

  Scenario: A swap that is processed after a refusal does not block its key
    # As before, but the service processes the swap after the caller was
    # refused. A withdrawal that only reads the shard would find no claim.
    Given a claim fleet with 2 instances
    And all swaps of the next claim have the fault "delayed"
    When the key "b-1" is claimed at 1 instances at once
    Then no claim was granted and 1 failed with "claims_unavailable"
    When the claim swaps have no more faults
    And all settlements are stored
    And the service processes the delayed claim swaps
    And the key "b-1" is claimed again
    Then the claim is granted

  Scenario: A claim bypasses a collector that has stopped
    # The collector of the key's shard has just stopped. All other instances
    # still consider it live and send their claims to it.
    Given a claim fleet with 3 instances
    And the collector of "b-1" has stopped
    When the key "b-1" is claimed at 2 instances at once
    Then exactly 1 claim was granted and 1 failed with "in_progress"

  Scenario: A collector that resumes late does not grant a completed claim again
    # The collector received the claim and paused. The claim bypassed it, and
    # the request ran and was settled. Then the collector resumes, outdated.
    Given a claim fleet with 3 instances
    And the collector of "b-1" has read its shard and is paused
    When the key "b-1" is claimed at 2 instances at once
    Then exactly 1 claim was granted and 1 failed with "in_progress"
    When the granted claim is settled as done
    And the collector of "b-1" resumes
    And the key "b-1" is claimed again
    Then the claim fails with "already_done"

  Scenario: A collector that resumes late does not release a running claim
    # As before, but the request is still running when the collector resumes
    # and grants the same claim again. The instance must not withdraw the claim
    # because of the late grant.
    Given a claim fleet with 3 instances
    And the collector of "b-1" has read its shard and is paused
    When the key "b-1" is claimed at 1 instances at once
    And the collector of "b-1" resumes
    And the key "b-1" is claimed again
    Then the claim fails with "in_progress"

  Scenario: A collector that resumes late does not restore a withdrawn claim
    # As before, but the request was not run and its withdrawal is stored. The
    # collector's late write must not store the claim, which would block the key.
    Given a claim fleet with 3 instances
    And the collector of "b-1" has read its shard and is paused
    When the key "b-1" is claimed at 1 instances at once
    And the granted claim is settled as not run
    And the collector of "b-1" resumes
    And the key "b-1" is claimed again
    Then the claim is granted

  Scenario: A claim that a collector stores after its refusal is withdrawn
    # The collector paused before writing the claim, and the service accepted
    # no other write, so the caller got 'not run'. Then the collector resumes
    # and stores the claim, whose request will never run.
    Given a claim fleet with 3 instances
    And the collector of "b-1" has read its shard and is paused
    And all swaps of the next claim have the fault "lost_request"
    When the key "b-1" is claimed at 1 instances at once
    Then no claim was granted and 1 failed with "claims_unavailable"
    When the claim swaps have no more faults
    And the settlements of the running instances are stored
    And the collector of "b-1" resumes
    Then the key "b-1" is granted within the time limit

  Scenario: A caller that disconnects while it waits does not block its key
    Given a claim fleet with 1 instances
    And the claims of "poa-a-0" are paused
    When a caller claims "b-1" and disconnects
    And the claims of "poa-a-0" resume
    And all settlements are stored
    And the key "b-1" is claimed again
    Then the claim is granted

  Scenario: A running claim of an instance that left is reported as unknown
    # The instance was replaced while the booking was in progress. 'In progress'
    # would make the caller wait forever, and 'not run' may be wrong.
    Given a claim fleet with 2 instances
    When the key "b-1" is claimed at 1 instances at once
    And the instance of the granted claim has left the fleet
    And the key "b-1" is claimed again
    Then the claim fails with "claim_unknown"

  Scenario: A key is refused for a different request
    Given a claim fleet with 2 instances
    When the key "b-1" is claimed at 1 instances at once
    And the key "b-1" is claimed again with another body
    Then the claim fails with "key_reused"

  Scenario: A key is remembered for the window and refused as too old afterwards
    # A caller retries after a day, when the record has been removed. An opaque
    # key would run again. A UUIDv7 contains its creation time and is refused.
    Given a claim fleet with a window of 1000 seconds
    When a UUIDv7 key is claimed and settled as done
    And the clock of the claims advances by 990 seconds
    And the UUIDv7 key is claimed again
    Then the claim fails with "already_done"
    When the clock of the claims advances by 20 seconds
    And the UUIDv7 key is claimed again
    Then the claim fails with "key_too_old"
    When the clock of the claims advances by 200 seconds
    Then the claim shard contains 0 old records after another claim

  Scenario: A full shard refuses new claims and keeps existing claims
    # Removing the oldest records to make space would let their requests run
    # a second time.
    Given a claim fleet whose shard is full
    When the key "b-1" is claimed again
    Then the claim fails with "claims_full"
    And the full shard still reports "already_done" for its first key

  Scenario: An instance with a different number of shards makes no claims
    # A new instance has different settings. It would look for the key in the
    # wrong shard, find no claim, and run the booking a second time.
    Given a claim fleet with 2 instances
    When the key "b-1" is claimed at 1 instances at once
    And an instance with 7 shards claims "b-1"
    Then the claim fails with "claims_unavailable"

  Scenario: Claims that are missing after a restore of the service are added
    # Operators restored yesterday's backup, which lacks the bookings claimed
    # since. An instance that has these claims in memory writes them again.
    Given a claim fleet with 2 instances
    When the key "a-1" is claimed at 1 instances at once
    And the state of the claims' service is saved
    And the key "b-1" is claimed at 1 instances at once
    And the granted claim is settled as done
    And the state of the claims' service is restored
    And the key "b-1" is claimed again
    Then the claim fails with "already_done"

  Scenario: No key is granted twice over HTTP if the service loses answers
    # Each key is claimed at all four instances, and half of the answers of the
    # key-value service are lost after the write took effect.
    Given a claim fleet over a key-value program that loses answers
    When 40 keys are each claimed at all 4 instances at once
    Then no key was granted twice and every refusal was correct

  Scenario: No sequence of faults grants a key twice or reports a wrong outcome
    # Instances crash and pause, messages are lost, swaps lose their answers,
    # are delayed or meet an outage, and callers retry anywhere at any time.
    Given a state machine of claims under faults
    When the claim state machine runs 60 examples of 30 steps
    Then the claim state machine passed and produced each main result
