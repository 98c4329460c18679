Feature: A backend server's keeper counts all requests sent there

  Three instances run in one process. The test delivers or drops their
  messages, and advances their clock.

  Scenario: Placement counts the requests that other instances sent
    # Guards against two instances that each count their own requests only. Both
    # send a long prompt to the same engine, which each takes for idle, and the
    # second caller waits twice as long as it would at any other engine.
    Given three instances and two engines
    When an instance that is not the keeper sends 30000 tokens to an engine
    And a third instance places a prompt of the same session
    Then that prompt is placed at the other engine

  Scenario: A frozen keeper delays one request and causes no refusal
    # Guards against requests that each wait for a frozen keeper, or are refused.
    # If the sender is the slow one, the keeper must still count its requests.
    Given three instances and two engines
    And the keepers do not answer
    When an instance reserves places for 5 prompts
    Then all 5 prompts have places
    And the instance waited for the keeper once, and sent it all asks

  Scenario: An instance whose event loop lags waits for no keeper
    # Guards against late requests on a slow instance. It reads an answer one turn
    # of its event loop later, which then takes a tenth of a second, and a request
    # may ask three keepers.
    Given three instances and two engines
    And an instance whose event loop lags by 0.05 seconds
    When that instance reserves places for 5 prompts
    Then all 5 prompts have places
    And the instance waited for no keeper, and the keepers count all 5 prompts

  Scenario: A keeper counts requests that were sent without its answer
    # Guards against overload by requests that keepers do not count. An instance
    # that gets half of the fleet's requests reads the keepers' answers too late
    # and places requests without them. Unless it still sends its asks, all other
    # instances take the engines that it fills for idle.
    Given three instances and two engines
    When the keepers' answers are lost, and an instance places 5 prompts
    Then the keepers count all 5 prompts

  Scenario: An instance that is not the keeper probes an ejected server
    # Guards against a probe that is used up by asking the server's keeper, so
    # that an ejected server is probed by the requests of its keeper alone.
    Given three instances and two engines
    And an engine whose ejection is over, and another one with a queue
    When an instance that is not the keeper reserves a place
    Then the place is at the engine that was ejected
    And no other instance gets a place there until it ended

  Scenario: Requests without an outcome do not postpone the next probe
    # Guards against an ejected server that stays excluded while requests ask
    # for it more often than a probe without an outcome is given up.
    Given three instances and two engines
    And an engine whose ejection is over, and another one with a queue
    When an instance that is not the keeper reserves a place
    And requests of all instances come for 3 s, each 0.2 s after the last
    Then one of them got a place at the engine that was ejected

  Scenario: A request that leaves its place leaves the probe to the next one
    # Guards against an ejected server whose probe a refused request used up.
    Given three instances and two engines
    And an engine whose ejection is over, and another one with a queue
    When an instance that is not the keeper reserves a place
    And the place is cancelled
    And a third instance reserves a place
    Then the place is at the engine that was ejected

  Scenario: The prompt of a refused request is not taken for cached
    # Guards against refusals after which an engine seems to hold prompt parts
    # that it never read, so that the next wait is expected too short.
    Given three instances and two engines
    When an instance that is not the keeper is refused for the keeper's load
    Then that instance knows no part of the prompt to be cached at an engine

  Scenario: A request that ended is no longer counted by the keeper
    Given three instances and two engines
    When an instance that is not the keeper sends 30000 tokens to an engine
    And that request ends
    Then the keeper counts no load at that engine

  Scenario: The requests of a restarted instance are no longer counted
    # Guards against engines that seem busy. An instance is killed with requests in
    # progress, and without a reset they would be counted until the next purge.
    Given three instances and two engines
    When an instance that is not the keeper sends 30000 tokens to an engine
    And that instance restarts
    Then the keeper counts no load at that engine

  Scenario: A request whose end was lost is dropped from the count
    Given three instances and two engines
    When an instance that is not the keeper sends 30000 tokens to an engine
    And the end of that request is lost, and 31 seconds pass
    Then the keeper counts no load at that engine

  Scenario: A failing engine that one instance detects is ejected by all instances
    # Guards against detection by each instance alone. With an engine whose health
    # check is good while half of its answers fail, each of seven other instances
    # would lose requests before it ejects the engine.
    Given three instances and two engines
    When 200 prompts are sent, and one engine fails all of its requests
    Then at most 8 prompts are lost
    And no instance sends a prompt to that engine

  Scenario: A restarted engine of the same name has an empty cache
    # Guards against sending a prompt to a restarted engine for its cache, which
    # is empty: the request then waits until the whole prompt is read.
    Given three instances and two engines
    When an engine reads a prompt
    And that engine restarts under the same name
    Then the same prompt counts as unread at that engine

  Scenario: An instance that refused its callers learns that engines are free again
    # Guards against refusing by load that was told long ago. Only requests that
    # are placed ask keepers, so an instance that refuses all of its requests for
    # the load of others never learned that this load was gone.
    Given three instances and two engines
    And an instance was told that 100 requests run at each engine
    When these requests end, and 1 second passes
    Then the instance places a prompt

  Scenario: An instance that refuses many requests asks keepers rarely
    # Guards against asks for each refused request of a flood.
    Given three instances and two engines
    And an instance was told that 100 requests run at each engine
    When the instance refuses 200 prompts within 1 second
    Then it sent at most 30 asks

  Scenario: A late answer of a keeper still updates the load
    # Guards against dropping late answers. Overloaded keepers answer after the
    # 0.02 seconds that a request waits; without their answers, an instance would
    # not count other instances' requests, and would keep sending requests to an
    # engine whose slots are all in use.
    Given three instances and two engines
    When an instance that is not the keeper sends 30000 tokens to an engine
    And a third instance places a prompt, and the keeper answers too late
    Then the third instance counts the other request at that engine
