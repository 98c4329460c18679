Feature: Versions are accepted one at a time and atomically

  Scenario: Exactly one of two concurrent writers succeeds
    # The console and an automation submit with the same base version. If both
    # were accepted, the first change would be lost without an error.
    Given a store whose version 1 is the consortium's document
    When writer "lan" submits share 9 for "co-lan" while "bot" gets share 7 for "sao-mai" accepted
    Then writer "lan" gets a conflict between base 1 and version 2
    And that conflict shows "sao-mai" as accepted and "co-lan" in the difference
    And the store holds the complete version 2 by "bot"

  Scenario: A lost answer to a successful swap is resolved by reading
    # The swap takes effect and its answer is lost. If the writer reported a
    # failure, a second submission would conflict with the first one.
    Given a store whose version 1 is the consortium's document
    When writer "lan" submits share 9 for "co-lan" and the answer to its swap is lost 1 times
    Then the submission of writer "lan" is accepted as version 2
    And the store's history is "lan:2, first:1"

  Scenario: A swap that was lost before taking effect is sent again
    Given a store whose version 1 is the consortium's document
    When writer "lan" submits share 9 for "co-lan" and its swap is lost 2 times before taking effect
    Then the submission of writer "lan" is accepted as version 2
    And the store's history is "lan:2, first:1"

  Scenario: A lost swap followed by another writer's version is a conflict
    # The swap is lost before taking effect, and another version is accepted
    # before the retry. Both "accepted" and "unknown" would be wrong results.
    Given a store whose version 1 is the consortium's document
    When writer "lan" loses its swap and "bot" gets share 7 for "sao-mai" accepted before the retry
    Then writer "lan" gets a conflict between base 1 and version 2
    And the store holds the complete version 2 by "bot"

  Scenario: A lost answer that can't be resolved is reported as unknown
    # The swap takes effect, its answer is lost and the service goes down. The
    # outcome is unknown until the submission id is looked up in the history.
    Given a store whose version 1 is the consortium's document
    When writer "lan" submits share 9 for "co-lan" and the service goes down after the swap
    Then the submission of writer "lan" has an unknown outcome
    And once the service is available again the history shows that submission as version 2

  Scenario: A submission during an outage of the service is refused
    Given a store whose version 1 is the consortium's document
    When writer "lan" submits share 9 for "co-lan" while the service is down
    Then the submission of writer "lan" is refused for "service_unavailable"
    And the store holds the complete version 1 by "first"

  Scenario: A writer terminated before the manifest swap changes no version
    # An instance is replaced after it wrote the parts. Its submission must not
    # come into force later, and its parts must not stay in the service.
    Given a store whose version 1 is the consortium's document
    When writer "lan" is terminated between writing the parts and the manifest
    Then the store holds the complete version 1 by "first"
    And the store holds parts that no version references
    And a collection after the grace period leaves only parts that a version references

  Scenario: A collection keeps parts during the grace period
    Given a store whose version 1 is the consortium's document
    When writer "lan" is terminated between writing the parts and the manifest
    And a collection with a grace period of an hour runs twice
    Then the store holds parts that no version references

  Scenario: A paused writer resumes after its parts were collected
    # A writer pauses before the manifest swap for longer than the grace
    # period, and its parts are collected. If its swap then succeeded, every
    # instance would read a version with missing parts.
    Given a store whose version 1 is the consortium's document
    When writer "lan" pauses before the manifest swap and all unreferenced parts are collected
    Then the submission of writer "lan" is accepted as version 2
    And the store holds the complete version 2 by "lan"

  Scenario: A writer rewrites a part between its listing and its deletion
    # The collector has listed an unreferenced part of an earlier attempt. A
    # writer submits the same content before the deletion. The part must stay.
    Given a store whose version 1 is the consortium's document
    And an unreferenced part for share 9 of "co-lan"
    When writer "lan" submits share 9 for "co-lan" just before the collector deletes
    Then the submission of writer "lan" is accepted as version 2
    And the store holds the complete version 2 by "lan"

  Scenario: A paused writer resumes after another version was accepted
    # A writer reads version 1 and pauses for minutes. Meanwhile version 2 is
    # accepted, which the writer has not read when it resumes.
    Given a store whose version 1 is the consortium's document
    When writer "lan" pauses before the manifest swap while "bot" gets share 7 for "sao-mai" accepted
    Then writer "lan" gets a conflict between base 1 and version 2
    And the store holds the complete version 2 by "bot"

  Scenario: A submission after a restore gets a number above the one in force
    # The service is restored to version 1 while the fleet has version 3 in
    # force. Every instance would permanently ignore a new version 2.
    Given a store whose version 1 is the consortium's document
    And versions 2 and 3 were accepted and are in force, and the service was restored to version 1
    When a router submits with base version 1
    Then the router's submission is a conflict with version 3
    When a router submits with base version 3
    Then the store holds the complete version 4 by "router"

  Scenario: A version with a damaged part is not loaded
    Given a store whose version 1 is the consortium's document
    When a stored part is overwritten with other bytes
    Then loading version 1 reports damage

  Scenario: 25,000 client accounts fit, and one change writes one part
    # At the target size the document has many megabytes, and automation
    # changes single accounts many times an hour.
    Given an empty store
    When a document of 25000 client accounts is accepted, and then a change of one
    Then every stored value is under a megabyte
    And the change wrote 1 part of accounts, the index and the manifest
    And an instance with the previous version read 2 values

  Scenario: Every version stays complete under random writes, faults and collections
    # Concurrent submissions, lost answers, terminated writers, restarts and
    # collections are executed in a random order.
    When random operations are run against a store of versions
    Then no version was accepted twice, reverted or applied partially
