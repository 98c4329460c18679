Feature: Failing backend servers are ejected and readmitted by probes

  Scenario: Consecutive failures eject a server for increasing durations
    Given the health of a service of 4 servers
    When server "s0" fails 3 requests in a row
    Then health admits no request to "s0" for 1 to 2 s
    When the probe of "s0" fails
    Then health admits no request to "s0" for 2 to 4 s
    When the probe of "s0" fails 9 times more
    Then health admits no request to "s0" for 30 to 60 s
    When the probe of "s0" succeeds
    Then health admits concurrent requests to "s0" again
    And the next ejection of "s0" lasts 1 to 2 s

  Scenario: A half-open server gets one request at a time
    # An engine restarts slowly. If it got all waiting requests at once, it
    # would fail again, and so would all of these requests.
    Given the health of a service of 4 servers
    When server "s0" fails 3 requests in a row
    And the ejection time of "s0" has passed
    Then health admits exactly one request to "s0" at a time
    When the probe of "s0" is cancelled by its caller
    Then health admits exactly one request to "s0" at a time
    When the probe of "s0" has no outcome for nearly a minute
    Then health admits one request to "s0" after a minute

  Scenario: A success from before the ejection does not readmit a server
    # A request granted before the ejection succeeds after it. Its outcome
    # says nothing about the present state of the server.
    Given the health of a service of 4 servers
    When server "s0" fails 3 requests in a row
    And a request to "s0" from before the ejection succeeds
    Then health admits no request to "s0" for 1 to 2 s

  Scenario: No more than the configured fraction of a service is ejected
    # The network to all engines fails for a moment. Ejecting all of them
    # would extend this short failure to an outage.
    Given the health of a service of 4 servers
    When every server of the service fails 5 requests in a row
    Then health still admits requests to 2 of the service's servers
    And the denied ejections are counted

  Scenario: Instances probe a recovering server at different moments
    Given the health of one failed server at 200 instances
    Then the ejections at these instances end at different moments

  Scenario: Random histories violate no invariant of health
    When health runs through many random histories
    Then no history exceeds the ejection fraction or admits two probes

  Scenario: Load reports are read only from the engines that are owned
    # When dispatch moves an engine to another instance, this one must stop
    # polling it. Otherwise 720 instances, the target, poll 2,000 engines.
    Given a load poller that owns two stand-in engines
    When one of the polled engines runs 3 requests
    Then the poller reports 3 running and none waiting there
    When the load poller owns only the other engine
    Then the poller polls only that engine

  Scenario: An engine with invalid load reports does not affect other engines
    Given a load poller that owns a broken engine and a stand-in engine
    Then the poller repeatedly reports only the stand-in engine
