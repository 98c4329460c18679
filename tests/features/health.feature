Feature: Failing backend servers are ejected, and come back by probes

  Scenario: Failures in a row eject a server, for a growing time
    Given the health of a service of 4 servers
    When server "s0" fails 3 requests in a row
    Then health admits no request to "s0" for 1 to 2 s
    When the probe of "s0" fails
    Then health admits no request to "s0" for 2 to 4 s
    When the probe of "s0" fails 9 times more
    Then health admits no request to "s0" for 30 to 60 s
    When the probe of "s0" succeeds
    Then health admits requests to "s0" again, as to any other
    And the next ejection of "s0" lasts 1 to 2 s

  Scenario: Half open, a server gets one request at a time
    # An engine restarts slowly. If all that waits were sent to it at once,
    # it would fail again, with all of that.
    Given the health of a service of 4 servers
    When server "s0" fails 3 requests in a row
    And the ejection time of "s0" has passed
    Then health admits one request to "s0" and no second beside it
    When the probe of "s0" is cancelled by its caller
    Then health admits one request to "s0" and no second beside it
    When the probe of "s0" is lost for good
    Then health admits one request to "s0" after a minute

  Scenario: Old news bring nobody back
    # A request granted before the ejection ends well after it. It says
    # nothing about the server now.
    Given the health of a service of 4 servers
    When server "s0" fails 3 requests in a row
    And an older request to "s0" ends well
    Then health admits no request to "s0" for 1 to 2 s

  Scenario: No service loses more than its fraction
    # The network to all engines fails for a moment. Ejecting all of them
    # would turn a moment into an outage.
    Given the health of a service of 4 servers
    When every server of the service fails 5 requests in a row
    Then health still admits requests to 2 of the service's servers
    And the denied ejections are counted

  Scenario: Instances don't probe in step
    Given the health of one failed server at 200 instances
    Then the ejections at these instances end at many moments

  Scenario: Whatever happens, health keeps its promises
    When health is driven through many random histories
    Then no history breaks the fraction or admits two probes

  Scenario: Load reports come from the engines that are owned
    # Dispatch moves an engine to another instance: this one must stop
    # asking it, or at the target 720 instances would ask 2,000 engines.
    Given a load poller that owns two stand-in engines
    When one of the polled engines runs 3 requests
    Then the poller reports 3 running and none waiting there
    When the load poller owns only the other engine
    Then the poller asks only that one

  Scenario: An engine that reports nothing useful changes nothing
    Given a load poller that owns a broken engine and a stand-in engine
    Then the poller reports the stand-in engine only, again and again
