Feature: A stream goes on only at the software version that began it

  Engines of several software versions serve side by side during a rollout. What two
  versions write does not fit together, and the engines don't check it. A client that
  takes a stream up names in `Resumes` the attempt that brought its first event.

  Scenario: A stream that breaks off goes on at an engine of its version
    # Guards against an answer that joins events of two versions: an engine ends
    # during a stream, and the instance goes on at any other of the service.
    Given 3 instances in front of engines of the versions "v1 v1 v2 v2"
    And each engine breaks off each stream after 2 more events
    When 12 clients request a stream, each once
    Then no stream has events of two versions
    And every stream reached event 4

  Scenario: A stream that no engine of its version is left for breaks off at once
    # Guards against an instance that rather joins events of two versions than
    # break the answer off.
    Given 1 instances in front of engines of the versions "v1 v2"
    And each engine breaks off each stream after 2 more events
    When 6 clients request a stream, each once
    Then no stream has events of two versions
    And every stream reached event 2

  Scenario: A client takes its stream up at other instances
    # Guards against an instance that did not begin the stream, does not know its
    # version and goes on at any engine of the service.
    Given 3 instances in front of engines of the versions "v1 v1 v2 v2"
    And each engine breaks off each stream after 1 more events
    When 12 clients request a stream, and take it up at the next instance until it ends
    Then no stream has events of two versions
    And every stream reached event 9

  Scenario: A client takes its stream up after the instance that began it has ended
    # Guards against a version that is known only to the instance that began the
    # stream, which may have been killed: that is why the client asks again.
    Given 3 instances in front of engines of the versions "v1 v1 v2 v2"
    And each engine breaks off each stream after 2 more events
    When 12 clients request a stream from the first instance
    And the first instance is killed
    And they take their streams up at the others until they end
    Then no stream has events of two versions
    And every stream reached event 9

  Scenario Outline: No stream joins versions after all instances were killed at once
    # Guards against new processes that take themselves for the first of the fleet
    # and the only listed version for the one that began every stream: no process
    # is left that knows better, and the store may have lost their entries.
    Given 3 instances in front of engines of the versions "v1 v1 v2 v2"
    And each engine breaks off each stream after 2 more events
    When clients request streams until some have begun at each version
    And the engines of "<gone>" are removed
    And all instances are killed at once, and the store <keeps> their entries
    And they take their streams up, and <name> the attempt that began them
    Then no stream has events of two versions

    Examples:
      | gone | keeps | name     |
      | none | keeps | name     |
      | none | loses | name     |
      | v1   | keeps | name     |
      | v1   | keeps | don't name |
      | v1   | loses | name     |
      | v1   | loses | don't name |

  Scenario Outline: Streams of one version go on after all instances were killed at once
    # Guards against new processes that refuse every stream for ten minutes, since
    # no process is left that knows which versions the service had.
    Given 3 instances in front of engines of the versions "v1 v1 v1"
    And each engine breaks off each stream after 2 more events
    When 12 clients request a stream, each once
    And all instances are killed at once, and the store <keeps> their entries
    And all instances are killed at once, and the store <again> their entries
    And they take their streams up, and <name> the attempt that began them
    Then no stream has events of two versions
    And every stream reached event 9

    Examples:
      | keeps | again | name       |
      | keeps | keeps | name       |
      | keeps | loses | don't name |
      | loses | loses | name       |
      | loses | keeps | don't name |

  Scenario Outline: Streams of two versions go on after all instances were killed at once
    # Guards against refusing every stream amid a rollout, since no process is left
    # that knows at which version each began.
    Given 3 instances in front of engines of the versions "v1 v1 v2 v2"
    And each engine breaks off each stream after 2 more events
    When clients request streams until some have begun at each version
    And the unfinished streams are recorded
    And all instances are killed at once, and the store keeps their entries
    And all instances are killed at once, and the store keeps their entries
    And they take their streams up, and <name> the attempt that began them
    Then no stream has events of two versions
    And every stream reached event 9

    Examples:
      | name       |
      | name       |
      | don't name |

  Scenario Outline: Without the attempt, equal requests are known at one version only
    # Guards against a stream that goes on at the version of an equal request.
    Given a fleet whose service has two versions
    When equal requests begin at <versions> at different instances
    Then without the attempt, each instance knows <version>
    When all instances are killed and at once restarted
    Then without the attempt, each instance knows <version>

    Examples:
      | versions  | version |
      | v1 and v1 | v1      |
      | v2 and v2 | v2      |
      | v1 and v2 | none    |
      | v2 and v1 | none    |

  Scenario: A client that doesn't name the attempt takes its stream up amid a rollout
    # Guards against refusals of streams whose request is known.
    Given 3 instances in front of engines of the versions "v1 v1 v2 v2"
    And each engine breaks off each stream after 2 more events
    When clients request streams until some have begun at each version
    And they take their streams up, and don't name the attempt that began them
    Then no stream has events of two versions
    And every stream reached event 9

  Scenario: Records of streams are bounded, however long their attempts are
    # Guards against a table that is limited by time, while callers choose how long
    # each key is.
    Given the records of an instance
    When 70000 streams begin whose attempts have 1000 characters
    Then at most 32 megabytes were allocated at a time
    And the last of these streams is known

  Scenario: A version that is not recorded gets no streams while others serve
    # Guards against streams at a version of which no trace is left once all
    # instances and its engines have ended.
    Given 2 instances in front of engines of the versions "v1 v1"
    And the store's records can't be written
    When an engine of "v2" is added
    And 12 clients request a stream, each once
    Then all streams began at "v1"
    When the store's records can be written again
    Then clients get streams at "v2" too

  Scenario: A stream whose version is unknown is refused at once as not run
    # Guards against a guess: the client names an attempt that no instance knows.
    Given 3 instances in front of engines of the versions "v1 v1 v2 v2"
    When a client takes up a stream that no instance knows
    Then it is refused at each instance as "version_unknown", and was not run

  Scenario: A stream is refused at once if no engine of its version is left
    # Guards against a request that waits until its deadline for an engine that
    # will not come back, or goes on at another version.
    Given 3 instances in front of engines of the versions "v1 v2 v2"
    And each engine breaks off each stream after 2 more events
    When clients request streams until some have begun at each version
    And the engines of "v1" are removed
    Then what began at "v1" is refused at each instance as "version_gone", and was not run

  Scenario: An address that an engine of another version took over is not used
    # Guards against an engine that got the address of one that ended: the request
    # names the engine that it expects, so that another one refuses it.
    Given 1 instances in front of engines of the versions "v1 v1"
    And each engine breaks off each stream after 2 more events
    When 4 clients request a stream, each once
    And each engine is replaced at its address by one of "v2", whose entry is delayed
    And they take their streams up
    Then no stream has events of two versions

  Scenario: A stream of a service that had one version only needs no record
    # Guards against refusals in a fleet without a rollout, where any engine fits.
    Given 3 instances in front of engines of the versions "v1 v1"
    When a client takes up a stream that no instance knows
    Then it goes on at each instance

  Scenario: A restarted instance learns from others that a service had one version
    # Guards against an instance that refuses every stream for ten minutes after
    # its start, because it has followed the list of servers since then only.
    Given 3 instances in front of engines of the versions "v1 v1"
    When the first instance is replaced by a new process
    And a client takes up a stream that no instance knows, or names none
    Then it goes on at each instance

  Scenario: A service has one version again ten minutes after a rollout
    # Guards against instances that tell each other of a version that is long gone
    # as if it were new, so that streams without a record are refused for good.
    Given the histories of three instances of a service that had "v1" and has "v2"
    When they tell each other what they know, every 60 s for 700 s
    Then each knows "v2" as the only version

  Scenario: Random rollouts, restarts, freezes and partitions never join versions
    # Guards against instances that know a version from another time, another
    # side of a partition or an earlier process, and against records that are
    # lost with the instances that hold them.
    When 60 random histories of 9 instances and engines of new versions are played
    Then no stream was said to have begun at another version
    And in touch, at least half of the streams that were taken up are known
