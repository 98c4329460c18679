Feature: Requests at an engine stay within its memory

  Several instances run in one process, without a network. An engine has memory
  for 240,000 tokens.

  Scenario: Random histories keep each engine within its memory
    # Guards against an engine that crashes because instances that start, are cut
    # off or are lost together send more than it can hold.
    When the memory state machine runs 150 times with 50 steps
    Then no run of the memory state machine failed

  Scenario: A request that does not fit goes to another engine
    # Guards against requests that fill the engine with the best cache beyond its
    # memory while another one has room.
    Given three instances and 2 engines, of a service that adapts
    And the first engine holds 200000 tokens
    When an instance that is not its keeper places 60000 tokens, and prefers it
    Then the request is at the second engine
    And the first engine's keeper counts 200000 tokens

  Scenario: A request that fits nowhere is refused until memory is free
    # Guards against callers that come back while the memory is still in use, and
    # against requests that ask every engine of a large fleet.
    Given three instances and 4 engines, of a service that adapts
    And all engines hold 230000 tokens
    When an instance places 100000 tokens
    Then it is refused as no_memory, to come back in 0.5 to 0.67 s
    And 3 keepers had no room for it
    And no keeper counts it

  Scenario: A request larger than an engine's memory is refused at once
    # Guards against a request that asks keepers and comes back for ever.
    Given three instances and 2 engines, of a service that adapts
    When an instance places 250000 tokens
    Then it is refused as no_memory, without a time to come back
    And no keeper was asked

  Scenario: The memory of services that do not adapt is no limit
    # Guards against changes for deployments that did not ask for them.
    Given three instances and 1 engine, of a service that does not adapt
    And all engines hold 230000 tokens
    When an instance that is not its keeper places 60000 tokens
    Then the request is at the first engine

  Scenario: A new keeper counts what the other instances report
    # Guards against a keeper that takes over, knows of no request that runs, and
    # fills the engine a second time.
    Given three instances and 1 engine, of a service that adapts
    And each instance has a request of 60000 tokens at the first engine
    When the keeper of the first engine is lost, and the others see it
    And the time for reports is over
    Then the new keeper counts 120000 tokens
    When the request of the instance that is not the keeper ends
    Then the new keeper counts 60000 tokens

  Scenario: A new keeper assumes the last known total until all have reported
    # Guards against a new keeper that fills the engine before the others see that
    # the keeper changed.
    Given three instances and 1 engine, of a service that adapts
    And a request of 180000 tokens of the instance that sees changes last
    When the keeper of the first engine is lost, and only the new one sees it
    Then the new keeper counts 180000 tokens
    And it refuses 40000 tokens and grants 30000

  Scenario: A sender whose keeper is silent leaves a tenth of the memory free
    # Guards against several senders that each fill the engine while its keeper is
    # frozen.
    Given three instances and 1 engine, of a service that adapts
    And a request of 180000 tokens of an instance that is not the keeper
    When the keeper stops reading
    Then that instance refuses 40000 tokens and places 30000

  Scenario: A sender whose keeper is silent sends hardly more than before
    # Guards against instances that all take an engine for free, by a last known
    # total from before the others began, and that together crash it.
    Given three instances and 1 engine, of a service that adapts
    When the keeper stops reading
    Then that instance places 3 requests of 10000 tokens and refuses the next

  Scenario: A keeper counts requests that are placed without its answer
    # Guards against a keeper that refuses a request, does not count it, and takes
    # the engine for free although the sender did not wait for the answer.
    Given three instances and 1 engine, of a service that adapts
    And a request of 180000 tokens of an instance that is not the keeper
    When the keeper stops reading
    And that instance places 30000 tokens, and the keeper places 40000
    And the keeper reads again
    Then the new keeper counts 250000 tokens

  Scenario: A keeper that returns counts nothing that has ended since
    # Guards against memory that seems used for 30 s after a short partition.
    Given three instances and 1 engine, of a service that adapts
    And a request of 60000 tokens of an instance that is not the keeper
    When that instance loses sight of the keeper, ends it and sees it again
    Then the new keeper counts 0 tokens

  Scenario: A service that stops adapting for a moment keeps its counts
    # Guards against memory that seems used for good because its requests ended
    # while an entry without the time of the server's start was listed.
    Given the service adapts while all its entries have a start
    And a request of 60000 tokens of an instance that is not the keeper
    When an entry without a start comes, the request ends, and it goes
    Then the new keeper counts 0 tokens

  Scenario: A request whose deadline passes while its keeper is asked holds nothing
    # Guards against memory that is used up by requests that never ran.
    Given three instances and 1 engine, of a service that adapts
    When the keeper stops reading
    And the deadline of a request passes while the keeper is asked
    And the keeper reads again
    Then the new keeper counts 0 tokens

  Scenario: An answer of an older release grants the request
    # Guards against refusals of all requests while a fleet is upgraded.
    When a keeper's answer of an older release is decoded
    Then it does not refuse
