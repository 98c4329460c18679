Feature: Requests take connections that were used before, where that is safe

  Scenario: Streams that may be sent once share a connection
    # Answers to chats come one after the other from the same engine. Each on a
    # connection of its own costs a round trip, and the engine's time.
    Given a server that tells an idle timeout of 10 seconds
    When 5 requests that may be sent once come one after the other
    Then the server got 5 requests on 1 connection

  Scenario Outline: A connection that was idle for long is not relied on
    # The server closes an idle connection in the very moment in which a chat
    # leaves on it. The chat is lost, though the server is well.
    Given a server that tells an idle timeout of 10 seconds
    When a request that may be sent <times> comes after <seconds> idle seconds
    Then the server got 2 requests on <connections> connections

    Examples:
      | times | seconds | connections |
      | once  | 4       | 1           |
      | once  | 6       | 2           |
      | again | 6       | 1           |
      | again | 9       | 2           |

  Scenario: Without a word of the server the shortest usual timeout is taken
    Given a server that tells no idle timeout
    When a request that may be sent once comes after 3 idle seconds
    Then the server got 2 requests on 2 connections

  Scenario: A closing that crosses a request sent once is told as unknown
    # A proxy closes the connection in the very moment in which the request
    # comes. It may have run: it is not sent again, nor called 'not run'.
    Given a server that closes each connection at its second request
    When a request that may be sent once meets the closing
    Then it fails as one that may have run
    And the server got 2 requests on 1 connection

  Scenario: One broken connection ends the others that are idle
    # Connections to an engine went silent together, or its machine went dark.
    # Each kept one would cost a chat of its own.
    Given a server that closes each connection at its second request
    When 3 requests at once leave 3 idle connections
    And a request that may be sent once meets the closing
    And another request that may be sent once comes
    Then the server got 5 requests on 4 connections

  Scenario: What must be known to have failed leaves on a new connection
    # A booking on a kept connection whose server closes could be reported as
    # unknown only.
    Given a server that tells an idle timeout of 10 seconds
    When 2 requests whose effect must be known come one after the other
    Then the server got 2 requests on 2 connections

  Scenario: A request is not sent if its server leaves while it connects
    # Guards against sending to a server that starts to drain after selection.
    Given a server that tells an idle timeout of 10 seconds
    When a request comes whose server has begun to leave
    Then it fails as one that was not sent
    And the server got 0 requests on 1 connection
