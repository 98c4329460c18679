Feature: An instance at its limit passes requests to instances that are idle

  The load: callers that keep their connections to one instance bring more than
  its processor can handle, while other instances have capacity left. The first
  scenarios play the decision alone, in steps of 0.1 s; the others use two
  instances in one process.

  Scenario Outline: An instance with more callers than it can serve is relieved
    # Guards against refusals at one instance while others are idle, and against
    # load that swings between instances.
    Given 20 instances, each of which can handle 200 requests a second
    When the callers of <hot> of them bring <requests> requests a second each, for 10 seconds
    Then in the last 5 seconds these instances are at work for <most> of the time at most
    And in the last 5 seconds no other instance is at work for more than 0.8 of the time
    And no request is passed twice

    Examples:
      | hot | requests | most |
      | 1   | 150      | 0.8  |
      | 1   | 250      | 0.9  |
      | 2   | 400      | 0.95 |
      | 5   | 300      | 0.95 |

  Scenario: An instance that is not at its limit keeps its requests
    # Guards against requests that take a detour for nothing.
    Given 20 instances, each of which can handle 200 requests a second
    When the callers of 20 of them bring 100 requests a second each, for 5 seconds
    Then no request was passed

  Scenario: Without an idle instance requests stay where they are
    # Guards against load that is passed around a fleet that is overloaded.
    Given 20 instances, each of which can handle 200 requests a second
    When the callers of 20 of them bring 300 requests a second each, for 5 seconds
    Then at most 0.05 of the requests were passed

  Scenario: A peer whose usage was reported long ago gets no requests
    # Guards against requests to an instance that was lost with the one that
    # aggregates the reports.
    Given an instance at its limit that knows an idle peer
    When 11 seconds pass without a report
    Then no peer is chosen

  Scenario: A peer that did not take a request gets no more for a second
    # Guards against a round trip for each request while a peer has no room.
    Given an instance at its limit that knows an idle peer
    When the peer does not take a request
    Then no peer is chosen
    But a second later the peer is chosen

  Scenario: The number of requests at peers is bounded
    # Guards against requests that pile up at a peer that is frozen.
    Given an instance at its limit that knows an idle peer
    When as many requests are passed as peers are chosen for
    Then at most 61 requests are in progress at the peer

  Scenario: The fleet's idle instances are told to an instance that asks
    # Guards against peers in another region, overloaded ones and lost ones.
    Given an instance that aggregates the usage of the fleet
    When "idle" reports a usage of 0.1, "busy" one of 0.7 and "far" in another region one of 0.1
    And "hot" reports a usage of 0.9
    Then "hot" is told "idle" alone
    But 11 seconds later "hot" is told nobody

  Scenario: An instance that has no time to pass requests on refuses connections
    # Guards against connections that are not accepted in time: callers gave up
    # without an answer, while all requests were passed on.
    Given an instance at its limit that knows an idle peer
    When it stays at its limit for 3 seconds
    Then between 0.8 and 0.95 of new connections are refused at once
    But 5 seconds after its load has fallen none are refused

  Scenario: An instance is told idle instances of its own failure domain first
    # Guards against bytes between failure domains that cost without need.
    Given an instance that aggregates the usage of the fleet
    When "idle" in the failure domain "b" and "near" in "a" report a usage of 0.1
    And "hot" reports a usage of 0.9
    Then "hot" is told "near" alone

  Scenario: A passed request is answered as the peer answers it
    Given two instances, the first of which is at its limit
    When a caller sends a booking to the first instance
    Then the caller gets the server's whole answer
    And the second instance ran the request

  Scenario: Requests are passed on also where the operator names the capacity
    # Guards against callers of one instance that fail for want of its processor
    # time while others are idle, whatever is known of the servers.
    Given two instances whose servers' capacity is not learnt, the first of which is at its limit
    When a caller sends a booking to the first instance
    Then the caller gets the server's whole answer
    And the second instance ran the request

  Scenario: An instance that is behind refuses connections before it reads them
    # Guards against a queue of unread requests that grows, since to read and to
    # refuse them takes longer than they take to arrive, until their callers leave.
    Given an instance at its limit that knows an idle peer
    When its oldest unread request has waited for 0.2 seconds
    Then between 1.0 and 1.0 of new connections are refused at once
    When its oldest unread request has waited for 0.02 seconds
    Then between 0.0 and 0.0 of new connections are refused at once

  Scenario: A passed stream is relayed event by event
    Given two instances, the first of which is at its limit
    When a caller asks the first instance for a stream of 8 events
    Then the caller gets the events 1 to 8 and the end of the stream
    And the second instance ran the request

  Scenario: A passed stream that is cut does not look complete
    # Guards against a caller that takes a part of a stream for the whole.
    Given two instances, the first of which is at its limit
    When a caller asks for a stream that its server cuts after 3 events
    Then the caller gets the events 1 to 3 and no end of the stream

  Scenario: A request that its peer does not take stays at the first instance
    # Guards against a request that is lost, or passed in a circle, between two
    # instances at their limits.
    Given two instances that are both at their limit
    When a caller sends a booking to the first instance
    Then the caller gets the server's whole answer
    And the first instance ran the request

  Scenario: A peer with an older configuration does not take a request
    # Guards against a change that callers of one instance see undone.
    Given two instances, the first of which is at its limit
    When a request that was passed with a newer configuration arrives
    Then the instance declines the request, which does not run

  Scenario: An answer of a server can not pass for a peer that declined
    # Guards against a request that runs at a peer and then once more at the
    # first instance, because its server's answer has the header of instances.
    Given two instances, the first of which is at its limit
    And the server answers 503 with the header of a declined request
    When a caller sends a booking to the first instance
    Then the server ran the request once

  Scenario: A peer that can serve nothing does not take a request
    # Guards against requests that are passed to an instance which refuses them.
    Given two instances, the first of which is at its limit
    And the second instance is being stopped
    When a caller sends a booking to the first instance
    Then the caller gets the server's whole answer
    And the first instance ran the request

  Scenario: A passed request is not passed on again
    # Guards against requests in a circle between instances at their limits, also
    # if one comes from an instance that is not known yet.
    Given two instances, the first of which is at its limit
    When a caller sends a request with the header of a passed request from another address
    Then the first instance ran the request

  Scenario: A request whose caller has left is not passed on
    # Guards against work for callers that gave up while an overloaded instance
    # had not read their requests.
    Given two instances, the first of which is at its limit
    When a caller sends a booking to the first instance
    And another one leaves before the first instance reads its request
    Then the second instance got 1 request

  Scenario: A peer that can not be reached costs its caller nothing
    # Guards against a refusal for a request that was never passed.
    Given an instance at its limit that can not reach its peer
    When a caller sends a booking to the first instance
    Then the caller gets the server's whole answer
    And the first instance ran the request

  Scenario: A caller can not mark its request as passed
    # Guards against callers that keep their requests from being passed on, and
    # against a header of instances that reaches a server.
    Given an instance at its limit that can not reach its peer
    When a caller sends a request with the header of a passed request from another address
    Then the header counts for nothing and reaches no server
