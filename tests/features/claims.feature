Feature: A non-idempotent request runs at most once under its key

  Scenario: Two callers race with one key at two instances
    # A booking's caller times out and retries at another instance while the
    # first one is about to send. Both would book the asset.
    Given a fleet of claims with 3 instances
    When the key "b-1" is claimed at 3 instances at once
    Then exactly 1 claim was granted and 2 ended "in_progress"
    When the granted claim is settled as done
    And the key "b-1" is claimed again
    Then the claim ends "already_done"
    And a settlement that comes late leaves the claim done

  Scenario: Instances that disagree on who collects grant a key once
    # In a partition each instance takes itself for the only one, and all
    # write the same shard at once: only the comparison keeps them apart.
    Given a fleet of claims with 4 instances
    And each instance takes itself for the only one
    When the key "a-1" is claimed at 4 instances at once
    Then exactly 1 claim was granted and 3 ended "claim_unknown"
    When the key "b-1" is claimed at 4 instances at once
    Then exactly 1 claim was granted and 3 ended "claim_unknown"

  Scenario: A request that was not run leaves its key free
    Given a fleet of claims with 3 instances
    When the key "b-1" is claimed at 1 instances at once
    And the granted claim is settled as not run
    And the key "b-1" is claimed again
    Then the claim is granted

  Scenario: What another instance settled is not told from memory
    # An instance wrote the claim and remembers it as running; another one
    # wrote that it was not run. The first must look before it refuses.
    Given a fleet of claims with 2 instances
    And each instance takes itself for the only one
    When the key "b-1" is claimed at 1 instances at once
    And the granted claim is settled as not run by way of the other instance
    And the key "b-1" is claimed again
    Then the claim is granted

  Scenario: The claims of many callers share few writes
    # The service takes several hundred writes a second, the fleet hundreds
    # of bookings: one write for each would use it up.
    Given a fleet of claims with 4 instances that group for 0.2 seconds
    When 200 keys are claimed at all instances one by one
    Then all 200 claims were granted
    And the claims took at most 40 swaps

  Scenario: A lost answer is settled by reading the claim back
    # The write took effect, its answer was lost. Writing anew would find the
    # key held, by the very same claim, and refuse the request for nothing.
    Given a fleet of claims with 2 instances
    And the next claim swaps go "after"
    When the key "b-1" is claimed at 1 instances at once
    Then exactly 1 claim was granted and 0 ended "in_progress"

  Scenario: A slow write that lands after its repetition changes nothing
    # The service sat on a swap past the time limit, took a second try of the
    # same claim, and then came to the first: its comparison fails.
    Given a fleet of claims with 2 instances
    And the next claim swaps go "late"
    When the key "b-1" is claimed at 1 instances at once
    And the late claim swaps land
    Then exactly 1 claim was granted and 0 ended "in_progress"
    When the key "b-1" is claimed again
    Then the claim ends "in_progress"

  Scenario: In an outage nothing is claimed, and afterwards all goes on
    Given a fleet of claims with 2 instances
    And the claims' service is down
    When the key "b-1" is claimed at 2 instances at once
    Then no claim was granted and 2 ended "claims_unavailable"
    When the claims' service is up
    And the key "b-1" is claimed again
    Then the claim is granted

  Scenario: An outage right after the write leaves no claim behind
    # The swap took effect, then the service went away before anybody could
    # read it back. The caller was told 'not run', which must stay true; and
    # the record that nobody runs must not hold up the caller's retry.
    Given a fleet of claims with 2 instances
    And the next claim swaps go "after_and_down"
    When the key "b-1" is claimed at 1 instances at once
    Then no claim was granted and 1 ended "claims_unavailable"
    When the claims' service is up
    And the settlements are kept
    And the key "b-1" is claimed again
    Then the claim is granted

  Scenario: A write that lands after the refusal is withdrawn as well
    # As before, but the service only comes to the swap after the caller was
    # refused. A withdrawal that just looks finds nothing to withdraw.
    Given a fleet of claims with 2 instances
    And the next claim swaps go "late" for a whole claim
    When the key "b-1" is claimed at 1 instances at once
    Then no claim was granted and 1 ended "claims_unavailable"
    When the claims' faults are over
    And the settlements are kept
    And the late claim swaps land
    And the key "b-1" is claimed again
    Then the claim is granted

  Scenario: A dead collector is gone past
    # The instance that collects the key's shard died a moment ago; all still
    # take it for live and ask it.
    Given a fleet of claims with 3 instances
    And the collector of "b-1" is dead
    When the key "b-1" is claimed at 2 instances at once
    Then exactly 1 claim was granted and 1 ended "in_progress"

  Scenario: A paused collector wakes after its claim was run elsewhere
    # The collector took the claim in and stopped. The request went past it,
    # ran and was settled. Then the collector wakes, still believing.
    Given a fleet of claims with 3 instances
    And the collector of "b-1" has read its shard and is paused
    When the key "b-1" is claimed at 2 instances at once
    Then exactly 1 claim was granted and 1 ended "in_progress"
    When the granted claim is settled as done
    And the collector of "b-1" wakes
    And the key "b-1" is claimed again
    Then the claim ends "already_done"

  Scenario: A paused collector wakes while its claim runs
    # As before, but the request still runs when the collector wakes and
    # grants the same claim once more: that late grant is no leftover to be
    # withdrawn.
    Given a fleet of claims with 3 instances
    And the collector of "b-1" has read its shard and is paused
    When the key "b-1" is claimed at 1 instances at once
    And the collector of "b-1" wakes
    And the key "b-1" is claimed again
    Then the claim ends "in_progress"

  Scenario: A paused collector wakes after its claim was withdrawn
    # As before, but the request was not run and its withdrawal kept. The
    # collector's late write must not leave a claim that nobody runs.
    Given a fleet of claims with 3 instances
    And the collector of "b-1" has read its shard and is paused
    When the key "b-1" is claimed at 1 instances at once
    And the granted claim is settled as not run
    And the collector of "b-1" wakes
    And the key "b-1" is claimed again
    Then the claim is granted

  Scenario: A paused collector wakes after its claim was refused
    # The collector stopped with the claim before it, and the service took no
    # other write: the caller was told 'not run'. Then the collector wakes
    # and writes the claim, which nobody will ever run.
    Given a fleet of claims with 3 instances
    And the collector of "b-1" has read its shard and is paused
    And the next claim swaps go "before" for a whole claim
    When the key "b-1" is claimed at 1 instances at once
    Then no claim was granted and 1 ended "claims_unavailable"
    When the claims' faults are over
    And the settlements of the others are kept
    And the collector of "b-1" wakes
    Then the key "b-1" is granted before long

  Scenario: A caller that leaves while it waits leaves its key free
    Given a fleet of claims with 1 instances
    And the claims of "poa-a-0" are paused
    When a caller claims "b-1" and leaves
    And the claims of "poa-a-0" go on
    And the settlements are kept
    And the key "b-1" is claimed again
    Then the claim is granted

  Scenario: The claim of an instance that is gone is told as unknown
    # The instance was replaced with the booking on its way. 'In progress'
    # would let the caller wait for ever, 'not run' may be untrue.
    Given a fleet of claims with 2 instances
    When the key "b-1" is claimed at 1 instances at once
    And the instance of the granted claim is gone for all
    And the key "b-1" is claimed again
    Then the claim ends "claim_unknown"

  Scenario: A key is not accepted with another request
    Given a fleet of claims with 2 instances
    When the key "b-1" is claimed at 1 instances at once
    And the key "b-1" is claimed again with another body
    Then the claim ends "key_reused"

  Scenario: Within the window a key is remembered, past it an old key is told
    # A caller retries a day later. The record is gone: an opaque key would
    # run again, a UUIDv7 tells its age and is refused as 'cannot be told'.
    Given a fleet of claims with a window of 1000 seconds
    When a UUIDv7 key is claimed and settled as done
    And 990 seconds pass for the claims
    And the UUIDv7 key is claimed again
    Then the claim ends "already_done"
    When 20 seconds pass for the claims
    And the UUIDv7 key is claimed again
    Then the claim ends "key_too_old"
    When 200 seconds pass for the claims
    Then the claims' shard holds 0 records after another claim

  Scenario: A full shard refuses new claims and keeps the old ones
    # Dropping the oldest records to make room would let their requests run
    # a second time.
    Given a fleet of claims whose shard is full
    When the key "b-1" is claimed again
    Then the claim ends "claims_full"
    And the full shard still tells "already_done" of its first key

  Scenario: An instance with another number of shards makes no claims
    # A new instance was given other settings. It would look for a key in
    # another value, find nothing, and run the booking a second time.
    Given a fleet of claims with 2 instances
    When the key "b-1" is claimed at 1 instances at once
    And an instance with 7 shards claims "b-1"
    Then the claim ends "claims_unavailable"

  Scenario: A service restored to an older state gets its claims back
    # Operators restored yesterday's backup. The bookings claimed since are
    # not in it; an instance that still knows them writes them again.
    Given a fleet of claims with 2 instances
    When the key "a-1" is claimed at 1 instances at once
    And the claims' service is saved
    And the key "b-1" is claimed at 1 instances at once
    And the granted claim is settled as done
    And the claims' service is restored
    And the key "b-1" is claimed again
    Then the claim ends "already_done"

  Scenario: Claims hold over a real connection that loses answers
    # Four instances, each caller tries at all of them, and half of the
    # service's answers are lost after the write took effect.
    Given a fleet of claims over a key-value program that loses answers
    When 40 keys are each claimed at all 4 instances at once
    Then no key was granted twice and every key at most refused as true

  Scenario: No sequence of faults runs a key twice or refuses it untruly
    # Instances crash and pause, messages are lost, swaps lose their answers,
    # land late or meet an outage, callers retry anywhere at any time.
    Given a state machine of claims under faults
    When the claims' state machine runs 60 examples of 30 steps
    Then the claims' state machine found no fault
