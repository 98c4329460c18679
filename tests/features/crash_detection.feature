Feature: Crashes of server processes are detected

  Scenario Outline: A crash is detected although the process still accepts connections
    # Guards against missing a crash because an exiting process still listens.
    Given <busy> busy processes
    When a server process with <count> other connections crashes under a request 10 times
    Then each crash is reported once

    Examples:
      | busy | count |
      | 0    | 0     |
      | 0    | 40    |
      | 8    | 8     |
      | 8    | 400   |

  Scenario: A reset by a running server is not reported as a crash
    # Guards against blaming a request for a connection that was merely reset.
    Given 8 busy processes
    When a running server resets the connection under a request 10 times
    Then no crash is reported

  Scenario: A running server that closes new connections is not reported
    # Guards against blaming requests for a server at its connection limit.
    Given a server that closes each connection
    When a request fails on that server
    Then no crash is reported

  Scenario: A server that closes its listening socket last is detected at once
    # Guards against taking one accepted connection for a running process.
    Given a server that stops listening 0.02 s after its connections broke
    When a request fails on the server
    Then the request is told that the server crashed
    And each crash is reported once

  Scenario: A crash that is detected late is still reported
    # Guards against dropping the result of a check that a request did not await.
    Given a server that stops listening 0.3 s after its connections broke
    When a request fails on the server
    Then the request is not told that the server crashed
    And each crash is reported once

  Scenario: A server that leaves while it is checked is not reported as crashed
    # Guards against reporting a shutdown that is announced during the check.
    Given a server that stops listening 0.3 s after its connections broke
    When a request fails on the server
    And the server is listed as leaving
    Then no crash is reported

  Scenario: Requests that fail during the check of a server are reported too
    # Guards against answering for a connection that broke after the check.
    Given a server that stops listening 0.3 s after its connections broke
    When 3 requests fail as the server closes their connections 0.08 s apart
    Then each crash is reported once

  Scenario: A crash is not reported under requests that were reset long before
    # Guards against blaming requests for a crash that further resets, which
    # extend the check of the server, let it find later.
    Given a server that stops listening 0 s after its connections broke
    When 3 requests fail as the server closes their connections 0.6 s apart
    Then a crash is reported under 1 of the requests

  Scenario: A crash is detected through a proxy whose target exits slowly
    # Guards against a proxy that accepts connections for a process that ended.
    Given a server that stops listening 0.3 s after its connections broke
    And a proxy in front of the server
    When a request fails on the server
    Then each crash is reported once

  Scenario: A proxy whose faults are cleared still refuses for an ended target
    # Guards against a healed proxy that hides the crash of its target.
    Given a server that stops listening 0 s after its connections broke
    And a proxy in front of the server
    When a request fails on the server
    And the proxy's faults are cleared
    And another request fails on the server
    Then the last request was not sent
