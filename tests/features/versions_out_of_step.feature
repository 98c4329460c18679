Feature: An instance that is out of step joins no streams of two versions

  While engines of a new version join, some instances are cut off from others or
  from the store, stand still, or have a list of servers that is not the newest.

  Scenario Outline: An instance that does not know a new version yet joins nothing
    # Guards against a list of servers that is some tenths of a second old and
    # believed without asking anyone, while streams begin at a version it lacks.
    Given 2 instances in front of engines of the versions "v1 v1"
    And each engine breaks off each stream after 2 more events
    When the first instance stops following the store
    And an engine of "v2" is added
    And clients request streams from the second instance, and <name> the attempt when they take them up at the first, for 4 seconds
    Then no stream has events of two versions
    And some of these streams began at "v2"
    And what the first instance refused was not run

    Examples:
      | name       |
      | name       |
      | don't name |

  Scenario: Instances that are out of step while a new version joins join nothing
    # Guards against instances that are cut off from all or some, one way or both,
    # from the store or not, or stand still, and believe that a service has one
    # version; and against refusals by those that can know.
    When 40 random histories of instances that are out of step during a rollout are played
    Then no stream was said to have begun at another version
    And every stream that began before the rollout was known where the list was recent

  Scenario: Equal requests before and after a new version joins are told apart
    # Guards against a stream that goes on at the version of an equal request: the
    # first was told to nobody, since its service had one version.
    When 20 random histories of equal requests during a rollout are played
    Then no stream was said to have begun at another version
    And every stream that began before the rollout was known where the list was recent

  Scenario: A version that only a lost record named is recorded again
    # Guards against a record that lacks a version: an odd entry replaced it, and
    # processes that start later would take the listed version for the only one.
    Given the history of an instance that lists "v2", where the store records "v1 v2"
    When the record is lost, and 5 seconds pass
    Then the versions "v1 v2" are to be recorded
