Feature: Answers without end

  Scenario Outline: An engine that sends <kind> without end is cut off
    # Guards against one engine that stops an instance for all its callers, and
    # fills its memory.
    Given a server process that sends <kind> without end
    When a request is sent to it with 4 s to answer
    Then the request fails as one that may have run
    And the server could send less than 16 MiB
    And the longest pause of other greenlets was shorter than a second

    Examples:
      | kind            |
      | header-line     |
      | header-name     |
      | header-lines    |
      | informational   |
      | chunk-extension |
      | trailer-line    |
      | trailer-lines   |
      | earlier-answer  |
      | earlier-answers |
      | body            |
      | long-body       |
      | chunks          |
      | long-chunk      |

  Scenario Outline: A store that sends <kind> without end is cut off
    # Guards against a platform service that stops an instance for all its callers.
    Given a server process that sends <kind> without end
    When the store is called there with 1 s to answer
    Then the call fails as one that may have been made
    And the longest pause of other greenlets was shorter than a second

    Examples:
      | kind            |
      | header-line     |
      | header-name     |
      | header-lines    |
      | informational   |
      | chunk-extension |
      | trailer-line    |
      | trailer-lines   |

  Scenario Outline: A stream of <kind> without end is cut off for its caller
    # Guards against an engine that fills the memory of an instance with what is
    # no event.
    Given a server process that sends <kind> without end
    And it is the engine of an instance on the platform
    When a caller asks the instance for a stream
    Then the caller gets no event and no whole answer
    And the server could send less than 16 MiB

    Examples:
      | kind          |
      | event-body    |
      | event-chunks  |

  Scenario: An answer's head that comes byte by byte is given up in time
    # Guards against a time limit that begins anew with each byte.
    Given a server that sends the head of its answer byte by byte without end
    When a request is sent to it with 0.5 s to answer
    Then the request fails for a "first_byte_timeout"

  Scenario: A connection to the peers port that says hello byte by byte is closed
    # Guards against connections that hold one of the limited places for good.
    Given an instance's links with 0.5 s for the first message
    When a connection sends its first message byte by byte
    Then the connection is closed by the instance

  Scenario: A link whose frame comes byte by byte is closed
    # Guards against connections that hold one of the limited places for good.
    Given an instance's links with 0.5 s for the first message
    When a connection sends its first message, and the next byte by byte
    Then the connection is closed by the instance

  Scenario: An engine's load that comes byte by byte is given up in time
    # Guards against a poll that never ends, while later ones are not made.
    Given a server that sends the body of its answer byte by byte without end
    When the load of the server is polled with 0.5 s to answer
    Then the poll ends without a report

  Scenario Outline: A caller that sends <what> stops no other caller
    # Guards against one caller whose bytes have always arrived, so that nothing
    # else of the instance runs.
    Given an instance on the platform with two servers of each service
    When a caller sends <what>
    Then the longest pause of other greenlets was shorter than a second

    Examples:
      | what                                          |
      | a body of 1000000 bytes in chunks of one byte |
      | 200 requests ahead that are refused           |
