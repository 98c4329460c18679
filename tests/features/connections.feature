Feature: Requests reuse pooled connections where that is safe

  Scenario: Requests that may be sent once reuse a connection
    # The same engine serves one chat after another. A new connection for each
    # costs a round trip and some of the engine's time.
    Given a server that announces an idle timeout of 10 seconds
    When 5 requests that may be sent once are sent one after the other
    Then the server received 5 requests on 1 connection

  Scenario Outline: A connection that was idle for too long is not reused
    # The server closes an idle connection at the moment when a chat is sent on
    # it. The chat fails, although the server is healthy.
    Given a server that announces an idle timeout of 10 seconds
    When a request that may be sent <times> is sent after <seconds> idle seconds
    Then the server received 2 requests on <connections> connections

    Examples:
      | times | seconds | connections |
      | once  | 4       | 1           |
      | once  | 6       | 2           |
      | again | 6       | 1           |
      | again | 9       | 2           |

  Scenario: Without an announced timeout the shortest common default is assumed
    Given a server that announces no idle timeout
    When a request that may be sent once is sent after 3 idle seconds
    Then the server received 2 requests on 2 connections

  Scenario: A request sent once that crosses a close is reported as unknown
    # A proxy closes the connection at the moment when the request arrives. The
    # request may have run, so it is neither resent nor reported as not run.
    Given a server that closes each connection at its second request
    When a request that may be sent once is sent as the server closes
    Then the request fails and is reported as one that may have run
    And the server received 2 requests on 1 connection

  Scenario: A broken connection closes the other idle connections to the server
    # All connections to an engine stop responding, or its host goes offline.
    # Each one that stayed in the pool would fail another chat.
    Given a server that closes each connection at its second request
    When 3 requests at once leave 3 idle connections
    And a request that may be sent once is sent as the server closes
    And another request that may be sent once is sent
    Then the server received 5 requests on 4 connections

  Scenario: A request whose outcome must be known uses a new connection
    # If the server closes the pooled connection of a booking, the outcome of the
    # booking could only be reported as unknown.
    Given a server that announces an idle timeout of 10 seconds
    When 2 requests whose outcome must be known are sent one after the other
    Then the server received 2 requests on 2 connections

  Scenario: Requests that each open a connection leave one idle connection
    # Guards against idle connections that reach the server's limit, after which
    # it resets the connections of other requests.
    Given a server that announces an idle timeout of 10 seconds
    When 5 requests whose outcome must be known are sent one after the other
    Then 1 of 5 connections to the server is open

  Scenario: Connections that are too old to be reused are closed
    # Guards against idle connections of a burst that stay until the server
    # closes them.
    Given a slow server that announces an idle timeout of 10 seconds
    When 3 requests at once leave 3 idle connections
    And the connections stay idle for 9 seconds
    And 1 requests whose outcome must be known are sent one after the other
    Then 1 of 4 connections to the server is open

  Scenario: Idle connections are limited
    # Guards against idle connections of a burst that take the connections which
    # the server accepts from all instances together.
    Given a slow server to which an instance keeps 2 idle connections at most
    When 5 requests at once leave 5 idle connections
    Then 2 of 5 connections to the server is open

  Scenario: A new connection replaces an idle one beyond the limit
    # Guards against a new connection for each booking beside the idle ones.
    Given a slow server to which an instance keeps 2 idle connections at most
    When 2 requests at once leave 2 idle connections
    And 1 requests whose outcome must be known are sent one after the other
    Then 1 of 3 connections to the server is open

  Scenario: A request is not sent if its server starts to leave while connecting
    # Guards against sending to a server that starts to drain after selection.
    Given a server that announces an idle timeout of 10 seconds
    When a request is sent to a server that has begun to leave
    Then the request fails and is reported as not sent
    And the server received 0 requests on 1 connection

  Scenario: A wait that bytes in time have ended does not count on
    # Guards against an idle timeout that is thrown while a slow caller is written
    # to, because it was once reported before the bytes that had arrived.
    Given a response whose idle timeout is reported after its bytes have arrived
    When the bytes are received
    Then its idle watch does not wait
