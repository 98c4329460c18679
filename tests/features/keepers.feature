Feature: A backend server's keeper knows all that goes there

  Three instances in one process, with messages that the test delivers or
  drops, and a clock that it moves.

  Scenario: A request waits behind what other instances sent
    # Two instances send long prompts to one engine in the same moment. Each
    # knows only of its own, so that both think that it is free, and the
    # second caller waits twice as long as any engine would have made it.
    Given three instances before two engines
    When another instance than the keeper sends 30000 tokens to an engine
    And a third instance has a prompt whose place is at that engine
    Then it goes to the other engine

  Scenario: A keeper that is frozen costs a moment, and no answer
    # The keeper's machine stands still. Requests for its engines must not
    # wait for it, nor be refused. If it is the sender that is slow, the keeper
    # must know of them all the same.
    Given three instances before two engines
    And the keepers answer nothing
    When an instance reserves places for 5 prompts
    Then all 5 have places
    And the keeper was waited for once, and told of the others

  Scenario: An instance that is behind waits for no keeper
    # It reads an answer one turn of its loop later, which takes a tenth of a
    # second by then. Requests that each ask three keepers are late by that.
    Given three instances before two engines
    And an instance whose loop is 0.05 seconds behind
    When that instance reserves places for 5 prompts
    Then all 5 have places
    And no keeper was waited for, and all 5 were told

  Scenario: What is sent without a keeper's answer counts there
    # An instance that gets half of a fleet's requests is too slow to take the
    # keepers' answers in time, and goes on by itself. Unless it still tells
    # them, everybody else takes the engines that it fills for empty.
    Given three instances before two engines
    When the keepers' answers are lost, and an instance places 5 prompts
    Then the keepers count all 5

  Scenario: A place that ends is free again at its keeper
    Given three instances before two engines
    When another instance than the keeper sends 30000 tokens to an engine
    And that request ends
    Then the keeper counts nothing at that engine

  Scenario: A restarted instance leaves nothing behind
    # An instance is killed with requests under way. Were they counted on,
    # its engines would pass for busy until the count is purged.
    Given three instances before two engines
    When another instance than the keeper sends 30000 tokens to an engine
    And that instance restarts
    Then the keeper counts nothing at that engine

  Scenario: A request whose end was lost is not counted for ever
    Given three instances before two engines
    When another instance than the keeper sends 30000 tokens to an engine
    And its end is lost, and 31 seconds pass
    Then the keeper counts nothing at that engine

  Scenario: What one instance finds out of a failing engine, all know
    # An engine's health is good and half of its answers fail. Seven other
    # instances would each have to lose requests to learn it.
    Given three instances before two engines
    When 200 prompts come, and one engine fails all that it gets
    Then 8 prompts are lost at most
    And no instance sends a prompt there

  Scenario: An engine that starts again under its name is a new one
    # The engine restarted and its cache is empty, but its name is the same.
    # A prompt that is sent there for its cache waits for all to be read.
    Given three instances before two engines
    When a prompt is sent to its engine and read
    And that engine starts again under its name
    Then the same prompt counts as unread there

  Scenario: An answer that comes late still tells of the server
    # Keepers are behind and answer after the 0.02 seconds that a request waits.
    # Were their answers dropped, an instance would never hear of the others'
    # requests, and go on filling an engine whose slots are all taken.
    Given three instances before two engines
    When another instance than the keeper sends 30000 tokens to an engine
    And a third instance places prompts, and its keeper answers too late
    Then that instance knows of the other's request at that engine
