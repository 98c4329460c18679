Feature: Versions are accepted one at a time, whole or not at all

  Scenario: Of two racing writers exactly one wins
    # The console and an automation submit on top of the same version. Were
    # both accepted, the first change would be lost without a word.
    Given a store whose version 1 is the consortium's document
    When writer "lan" submits share 9 for "co-lan" while "bot" gets share 7 for "sao-mai" accepted
    Then writer "lan" gets a conflict between base 1 and version 2
    And that conflict shows "sao-mai" as theirs and "co-lan" in the difference
    And the store holds version 2 by "bot", whole

  Scenario: A lost answer of an accepted swap is settled by reading
    # The swap takes effect and its answer is lost. A writer that called this
    # a failure would submit again and meet a conflict with itself.
    Given a store whose version 1 is the consortium's document
    When writer "lan" submits share 9 for "co-lan" and its swap's answer is lost 1 times
    Then writer "lan" is told that version 2 was accepted
    And the store's history is "lan:2, first:1"

  Scenario: A lost swap that had no effect is sent again
    Given a store whose version 1 is the consortium's document
    When writer "lan" submits share 9 for "co-lan" and its swap is lost 2 times on the way
    Then writer "lan" is told that version 2 was accepted
    And the store's history is "lan:2, first:1"

  Scenario: A lost swap that another writer overtook is a conflict
    # The swap is lost on the way, and before it is sent again another
    # version is accepted. "Accepted" and "unknown" would both be untrue.
    Given a store whose version 1 is the consortium's document
    When writer "lan" loses its swap and "bot" gets share 7 for "sao-mai" accepted before the next try
    Then writer "lan" gets a conflict between base 1 and version 2
    And the store holds version 2 by "bot", whole

  Scenario: An answer that stays lost is said to be unknown
    # The swap takes effect, its answer is lost and the service goes down.
    # Neither accepted nor refused is known; the submission's id settles it.
    Given a store whose version 1 is the consortium's document
    When writer "lan" submits share 9 for "co-lan" and the service goes down after the swap
    Then writer "lan" is told that the outcome is unknown
    And once the service is back the history shows that submission as version 2

  Scenario: While the service is down a submission is refused
    Given a store whose version 1 is the consortium's document
    When writer "lan" submits share 9 for "co-lan" while the service is down
    Then writer "lan" is refused for "service_unavailable"
    And the store holds version 1 by "first", whole

  Scenario: A writer that dies before the manifest leaves no trace in force
    # An instance is replaced after it wrote the parts. What it submitted
    # must not come into force later, nor fill the service for ever.
    Given a store whose version 1 is the consortium's document
    When writer "lan" dies between its parts and the manifest
    Then the store holds version 1 by "first", whole
    And the store keeps parts that no version names
    And a collection after the grace period leaves only parts that a version names

  Scenario: A collection spares parts that were seen only just now
    Given a store whose version 1 is the consortium's document
    When writer "lan" dies between its parts and the manifest
    And a collection with an hour of grace runs twice
    Then the store keeps parts that no version names

  Scenario: A paused writer wakes after a collection of its parts
    # A writer pauses before the manifest for longer than any grace period,
    # and its parts are collected. Had its swap held then, every instance
    # would read a version whose parts are gone.
    Given a store whose version 1 is the consortium's document
    When writer "lan" pauses before the manifest and all unreferenced parts are collected
    Then writer "lan" is told that version 2 was accepted
    And the store holds version 2 by "lan", whole

  Scenario: A paused writer writes between listing and deleting
    # The collector has listed a part that lay there from an earlier try and
    # is slow; a writer names the same content meanwhile. The part must stay.
    Given a store whose version 1 is the consortium's document
    And an abandoned part for share 9 of "co-lan"
    When writer "lan" submits share 9 for "co-lan" just before the collector deletes
    Then writer "lan" is told that version 2 was accepted
    And the store holds version 2 by "lan", whole

  Scenario: A paused writer wakes after another version
    # A writer reads version 1, pauses for minutes and wakes. In between
    # version 2 was accepted, which it has never seen.
    Given a store whose version 1 is the consortium's document
    When writer "lan" pauses before the manifest while "bot" gets share 7 for "sao-mai" accepted
    Then writer "lan" gets a conflict between base 1 and version 2
    And the store holds version 2 by "bot", whole

  Scenario: A submission on top of a restored older store gets a higher number
    # The service comes back with version 1 while the fleet has version 3 in
    # force. A version 2 would be ignored by every instance, for ever.
    Given a store whose version 1 is the consortium's document
    And versions 2 and 3 were accepted and are in force, and the service was restored to version 1
    When a router submits on top of version 1
    Then the router's submission is a conflict with version 3
    When a router submits on top of version 3
    Then the store holds version 4 by "router", whole

  Scenario: A damaged part is never put in force
    Given a store whose version 1 is the consortium's document
    When a stored part is overwritten with other bytes
    Then loading version 1 reports damage

  Scenario: 25,000 client accounts fit, and one change moves one part
    # At the target size the document is many megabytes, and automation
    # changes single accounts many times an hour.
    Given an empty store
    When a document of 25000 client accounts is accepted, and then a change of one
    Then every stored value is under a megabyte
    And the change wrote 1 part of accounts, the index and the manifest
    And an instance that had the version before read 2 values

  Scenario: Random writers, faults and collections keep every version whole
    # Submissions race, answers are lost, writers die, instances restart and
    # collections run, in orders that nobody thought of.
    When random steps are taken against a store of versions
    Then no version was accepted twice, reverted or half applied
