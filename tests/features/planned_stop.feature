Feature: A planned stop leaves no caller without an answer

  # A process that is stopped gets some seconds in which requests may end. At the
  # end of these it closes all connections.

  Scenario: A request whose body comes after the stop began to refuse is not run
    # Guards against requests that are begun late in a stop, and then cut off.
    Given an instance on the platform that is stopped while it reads a body
    When the rest of the body comes
    Then the caller gets 503 "stopping", and no server got the request

  Scenario: A request in own mode whose body comes after the stop began is not run
    # Guards against requests that are begun late in a stop, and then cut off.
    Given an entry that drains while it reads a body
    When the rest of the body comes
    Then the caller gets 503 "stopping", and no server got the request

  Scenario: A request that has no place when the time of a stop ends is refused
    # Guards against callers that see a closed connection, and can't tell that
    # their request has not run.
    Given an instance on the platform whose servers are busy until after its stop
    When it is stopped while a request waits for a place
    Then that caller gets 503 "stopping"
    And its request was not sent

  Scenario Outline: <request> that runs when the time of a stop ends gets an answer
    # Guards against callers that see a closed connection in place of an answer
    # that says what is known.
    Given an instance on the platform whose servers are busy until after its stop
    When it is stopped while <request> runs
    Then that caller gets 502 "outcome_unknown"

    Examples:
      | request                        |
      | a request that may run once    |
      | a request that may be repeated |

  Scenario: A stream that runs when the time of a stop ends has no end
    # Guards against a part of a stream that looks whole.
    Given an instance on the platform whose servers are busy until after its stop
    When it is stopped while a stream runs
    Then that caller gets events and no end of the stream

  Scenario: A passed stream goes on when the time of its peer's stop ends
    # Guards against streams that are cut off in the middle because the instance
    # to which they were passed is stopped first.
    Given an instance at its limit, which passed a stream to a peer that has sent 3 events
    When the peer is stopped, and the server has a place again
    Then the caller gets the events 1 to 9 once each, and the end of it
    And the server was asked to go on after event 3, and nobody counted the request twice

  Scenario: A passed request that waits at a peer which stops is run where it came from
    # Guards against requests that end with the time of an instance that had not
    # begun to run them.
    Given an instance at its limit, whose requests wait at a peer for a place
    When the peer is stopped, and the server has a place again
    Then the caller gets the answer of the server, which ran the request once
