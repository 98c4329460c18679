Feature: A request that was passed to another instance is answered, and runs once

  # An instance at its limit passes requests to a peer. The peer may stop, freeze
  # or become unreachable at any moment, and go on later.

  Scenario Outline: A request stays at the first instance if its peer <behaviour>
    # Guards against callers that wait until their deadline, and are told nothing,
    # because a peer that stands still holds their requests.
    Given an instance at its limit whose peer <behaviour>
    When a caller sends <request> to the first instance
    Then the caller gets the answer from the server, which ran the request once
    And the peer got no end of the request

    Examples:
      | behaviour                           | request                           |
      | reads nothing                       | a request that may run once       |
      | reads nothing                       | a request that may be repeated    |
      | reads nothing                       | a request for a stream            |
      | reads nothing                       | a request without a body          |
      | reads the head and does not go on   | a request that may run once       |
      | closes each connection              | a request that may run once       |
      | closes each connection              | a request without a body          |

  Scenario Outline: <request> ends with its route's timeout if its peer took it and <behaviour>
    # Guards against callers that wait longer than the operator allows, for a peer
    # that stands still.
    Given an instance at its limit whose peer asks for the request and <behaviour>
    And the routes have a timeout of 300 milliseconds
    When a caller sends <request> to the first instance
    Then the caller gets the status 504
    And the request ran nowhere else

    Examples:
      | behaviour          | request                        |
      | does not answer    | a request that may run once    |
      | does not answer    | a request that may be repeated |
      | does not answer    | a request for a stream         |
      | sends a head only  | a request for a stream         |

  Scenario: A passed stream ends with its route's timeout if its peer goes silent
    # Guards against streams that stay open for a peer that stands still.
    Given an instance at its limit whose peer asks for the request and sends one event
    And the routes have a timeout of 300 milliseconds
    When a caller sends a request for a stream to the first instance
    Then the caller gets a stream without an end

  Scenario: A peer that is lost while it runs a request leaves its outcome unknown
    # Guards against a refusal that promises that a request was not run.
    Given an instance at its limit whose peer asks for the request and closes the connection
    When a caller sends a request that may run once to the first instance
    Then the caller gets the status 502
    And the request ran nowhere else

  Scenario Outline: A peer that goes on after it stood still runs nothing of that time, if the end of its connections <arrives>
    # Guards against requests that run twice, or after their callers were told that
    # they had not run, once a frozen process wakes.
    Given two instances, the first of which is at its limit, and the second stands still
    When a caller sends a request that may run once to the first instance
    Then the caller gets the answer from the server, which ran the request once
    When the second instance goes on, and the end of its connections <arrives>
    Then the server got no other request

    Examples:
      | arrives        |
      | arrives        |
      | does not       |

  Scenario: A request whose caller left while the process stood still is not sent
    # Guards against engines that work for nobody after a frozen process wakes.
    Given two instances, the first of which is at its limit
    When a caller leaves while the second instance stands still with a place for its request
    Then the server got no request

  Scenario Outline: A server that says through a peer that it leaves gets nothing more
    # Guards against an instance that tells its caller that a server leaves, and
    # goes on to use it, because a peer had received the answer.
    Given two instances, the first of which is at its limit
    And all servers say in their answers that they leave
    When a caller sends <request> to the first instance
    Then the caller gets the word that the server leaves, and no other header of instances
    When the first instance runs its requests itself again
    And a caller sends <request> to the first instance
    Then the second request was not run

    Examples:
      | request                     |
      | a request that may run once |
      | a request for a stream      |

  Scenario: A peer is not left out because the instance itself is behind
    # Guards against an overloaded instance that reads its peers' answers late,
    # takes the peers for silent and keeps its load.
    Given an instance at its limit that knows an idle peer
    When its oldest unread request has waited for 0.05 seconds
    And the peer was asked for a request 0.11 seconds ago
    Then the peer is chosen for several requests

  Scenario: An answer that arrived in time counts although the loop is behind
    # Guards against a peer or server that is taken for silent, because a timer of
    # an overloaded instance runs before it reads what has arrived.
    Given two instances, the first of which is at its limit
    When a caller sends a request that may run once while the first instance stands still until each time limit has passed
    Then the second instance has taken 1 requests

  Scenario: A peer that works on a request for long gets others too
    # Guards against a peer that is left out as silent because its servers take
    # their time.
    Given two instances, the first of which is at its limit
    When a caller waits for a server through the second instance, for longer than a peer may be silent
    And another caller sends a request to the first instance
    Then the second instance has taken 2 requests

  Scenario: A peer that takes no request is left out until it answers
    # Guards against a delay for each request until the other instances notice that
    # a peer stands still.
    Given an instance at its limit that knows an idle peer
    When the peer was asked for a request 0.11 seconds ago
    Then no peer is chosen
    When the peer has not taken it in time
    And 2 seconds pass without a report
    Then the peer is chosen for one request at a time
    When the peer answers
    Then the peer is chosen for several requests
