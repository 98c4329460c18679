Feature: An instance serves the routes of a platform's operator

  Background:
    Given an instance on the platform with two servers of each service

  Scenario: A request goes by the longest prefix, under its account's name
    # Routes overlap, and callers set headers that are the system's: an
    # account's name, a place in an engine's memory. The server must get the
    # operator's word on each, and never the caller's key.
    When the operator adds the route "/read/deep/" to the service "llm"
    And a request for "/read/deep/x?y=1" claims to be another account's
    Then a server of "llm" got "/read/deep/x?y=1" for "account-a"
    And the server got its own name, what is left of the time, and no key
    And the server got none of the caller's system headers

  Scenario Outline: A request that no route or key allows is refused as such
    When a request for "<path>" comes with the key "<key>"
    Then it is answered <status> with the code "<code>"
    And no server got a request

    Examples:
      | path    | key   | status | code          |
      | /none/x | key-a | 404    | route_unknown |
      | /read/x | key-z | 401    | unauthorised  |

  Scenario Outline: An instance that may know old routes and keys says so
    # The instance was cut off from the store while the operator added a
    # route and a key. A caller that is told 'unknown' gives up for good;
    # one that is told to come back finds an instance that knows.
    When the store falls silent for longer than a new version may take
    And a request for "<path>" comes with the key "<key>"
    Then it is answered 503 with the code "<code>"

    Examples:
      | path    | key   | code                      |
      | /none/x | key-a | configuration_unconfirmed |
      | /read/x | key-z | keys_unconfirmed          |

  Scenario: A key that may have been revoked unseen is refused
    # The operator takes a key away from a customer who left. The store
    # answers everyone but one instance, which goes on admitting the key.
    When the store refuses every call for longer than a revocation may take
    Then the instance is not ready
    And a request for "/read/x" with the key "key-a" gets 503
    And a request for "/open/x" without a key gets 200
    When the store answers again
    Then the instance is ready again
    And a request for "/read/x" with the key "key-a" gets 200

  Scenario: A revoked key is out as soon as the version is there
    When the operator takes the key "key-a" away
    Then a request for "/read/x" with the key "key-a" gets 401
    And a request for "/read/x" with the key "key-b" gets 200

  Scenario: A lower version never comes into force
    When the operator writes version 5, and then an old version 3 appears
    Then version 5 is in force

  Scenario: A stream goes on at another engine after the last whole event
    # A student reads a hint while its engine dies in the middle of an event.
    # The rest must come from another engine, no event twice and none left
    # out, under the first engine's signature.
    Given the first engine breaks off in the middle of event 4
    When a caller streams from "/chat/x"
    Then the caller gets the events 1 to 9 once each, and the end
    And the answer is signed by the first engine
    And the second engine was asked to go on after event 3

  Scenario: A stream that can't be resumed is cut, not ended
    # The engine that should go on fails. Its answer, written behind the
    # events that the caller has, ends the stream as if it were whole, and
    # half a hint is taken for all of it.
    Given the first engine breaks off in the middle of event 4
    And the second engine answers 500
    When a caller streams from "/chat/x"
    Then the caller gets the events 1 to 3 and no end

  Scenario: A fault of the program in a stream cuts it, and does not end it
    # Something unforeseen breaks while events are relayed. The answer that
    # tells of it, written behind them, would end the stream as if whole.
    Given the engines send the events 1 to 9 one by one
    And the program fails over event 4
    When a caller streams from "/chat/x"
    Then the caller gets the events 1 to 3 and no end

  Scenario: An instance that is behind with its work refuses at once
    # Callers' connections are uneven and its machine is small: requests wait
    # unseen for seconds, are sent on after their callers have left, and make
    # the streams that are under way late as well.
    When the instance is 61 seconds behind
    And a request for "/read/x" comes with the key "key-a"
    Then it is answered 503 with the code "instance_busy"
    And it is answered 503, with a time to come back
    And no server got a request
    When the instance is 0 seconds behind
    Then a request for "/read/x" with the key "key-a" gets 200

  Scenario: What is sent on must have a caller still
    # A caller gives up and closes its connection. An instance that is busy
    # reads its request all the same, and an engine works for nobody.
    Given the instance notices departures late
    When a caller of "/read/x" has left before its request is sent on
    Then no server got a request

  Scenario: A request that can't be written on is refused, and has not run
    When a request for "/write/x" names a method that no server takes
    Then it is answered 400
    And no server got a request

  Scenario: A stream that may not run twice is cut, and runs nowhere else
    Given the first engine breaks off in the middle of event 4
    When a caller streams from "/once/x"
    Then the caller gets the events 1 to 3 and no end
    And one engine got a request

  Scenario: An engine that leaves out events is not passed on
    Given the first engine sends the events 1 to 3 and then 5 to 9
    When a caller streams from "/once/x"
    Then the caller gets the events 1 to 3 and no end

  Scenario: A client's resumed stream begins after its last event
    Given the engines send the events 6 to 9
    When a caller streams from "/chat/x" after event 5
    Then the caller gets the events 6 to 9 once each, and the end
    And the first engine was asked to go on after event 5

  Scenario: A sending that a kept connection lost is one of the runs
    # The servers crash in the midst of requests that came on connections
    # which were used before. Whoever sends again at once, as if the server
    # had only closed an idle connection, lets a request run more often than
    # its route says, and beyond the budget of second tries.
    When 6 requests for "/open/x" come one after the other
    Then each is answered 200
    Given every plain server closes without an answer
    When a request for "/read/x" comes with the key "key-a"
    Then it is answered 502
    And the plain servers got 8 requests

  Scenario Outline: What may have run is never called 'not run'
    # A booking's answer is lost, or its server answers with a status that
    # promises 'not run' without saying so itself. Told 503, the client
    # books a second time.
    Given the first plain server <fault>
    When a request for "/write/x" comes with the key "key-a"
    Then it is answered <status>
    And one server got a request

    Examples:
      | fault                            | status |
      | closes without an answer         | 502    |
      | answers 503 and does not say why | 502    |
      | answers 429 and does not say why | 502    |
      | answers 200 without a signature  | 502    |
      | answers 200 in an encoding       | 502    |
      | answers 500                      | 500    |
      | is reset in an unframed answer   | 502    |

  Scenario: A server's Retry-After is not passed on with a replaced status
    # Guards against callers waiting out one server's backoff.
    Given the first plain server answers 503 with a Retry-After
    When a request for "/write/x" comes with the key "key-a"
    Then it is answered 502
    And the answer has no Retry-After

  Scenario Outline: What surely has not run goes to another server
    Given the first plain server <fault>
    When a request for "/write/x" comes with the key "key-a"
    Then it is answered 200

    Examples:
      | fault                           |
      | says that it did not run it     |
      | is another one at that address  |
      | refuses connections             |

  Scenario: Where every server says 'not run', so does the answer
    Given every plain server says that it did not run it
    When a request for "/write/x" comes with the key "key-a"
    Then it is answered 503, with a time to come back

  Scenario: An idempotent request is sent again after a server's error
    Given the first plain server answers 500
    When a request for "/read/x" comes with the key "key-a"
    Then it is answered 200
    And two servers got a request

  Scenario: The operator's number of runs is kept
    Given every plain server answers 500
    When a request for "/read/x" comes with the key "key-a"
    Then it is answered 500
    And two servers got a request

  Scenario: A second answer to an earlier request is passed over
    # A server answers a request twice. The second answer lies on the kept
    # connection where the next request's is expected, and would go to the
    # next caller: another customer's record.
    Given the plain servers send each answer twice, the second one late
    When two callers ask for "/open/x" one after the other
    Then each gets the answer to its own request

  Scenario: An answer that ends with its connection is whole
    Given every plain server answers without a length and closes
    When a request for "/open/x" comes with the key ""
    Then it is answered 200 with the body "whole"

  Scenario: A caller that leaves is cancelled at the engine
    Given the engines answer nothing
    When a caller of "/chat/x" leaves while its engine works
    Then the engine's connection is closed

  Scenario: The route's time ends a request that has no answer
    Given the plain servers answer nothing
    When the operator sets the time-out of "write" to 300 milliseconds
    And a request for "/write/x" comes with the key "key-a"
    Then it is answered 504

  Scenario: A server that leaves gets nothing from then on
    When the first plain server says that it leaves
    And 6 requests for "/open/x" come one after the other
    Then the first plain server got no request

  Scenario Outline: An answer that reports that its server is leaving is logged
    # Guards against drains that are reported in answers but missing in the log.
    Given the <service> server that gets the first request reports in its <answer> that it is leaving
    When a request for "/<route>/x" comes with the key "key-a"
    Then exactly one log record reports that this server is leaving

    Examples:
      | service | route | answer        |
      | plain   | read  | whole answer  |
      | plain   | read  | error         |
      | plain   | read  | refusal       |
      | llm     | chat  | stream's head |

  Scenario: A 421 answer does not report the expected server as leaving
    # Guards against attributing the state of another server at the same address.
    Given the plain server that gets the first request reports in its 421 answer that it is leaving
    When a request for "/read/x" comes with the key "key-a"
    Then no log record reports that a server is leaving

  Scenario Outline: A server whose answer reports that it is leaving gets no more requests
    # Guards against sending to a draining server until its entry changes.
    Given the <service> server that gets the first request reports in its <answer> that it is leaving
    When 40 requests for "/<route>/x" are sent one after the other with the key "key-a"
    Then this server got 1 request

    Examples:
      | service | route | answer        |
      | plain   | read  | whole answer  |
      | plain   | read  | error         |
      | plain   | read  | refusal       |
      | llm     | chat  | stream's head |

  Scenario: An entry that says ready does not bring a leaving server back
    # Guards against a stale entry that overrides what the answer reported.
    Given the plain server that gets the first request reports in its whole answer that it is leaving
    When 1 requests for "/read/x" are sent one after the other with the key "key-a"
    And its entry lapses, and is written again as ready
    And 8 requests for "/read/x" are sent one after the other with the key "key-a"
    Then this server got 1 request

  Scenario: The next incarnation of a server that was leaving gets requests
    # Guards against excluding a server that restarted under its name.
    Given the plain server that gets the first request reports in its whole answer that it is leaving
    When 1 requests for "/read/x" are sent one after the other with the key "key-a"
    And it starts again under its name
    And 8 requests for "/read/x" are sent one after the other with the key "key-a"
    Then this server got more than 1 request

  Scenario: A request is refused at once while all servers are leaving
    # Guards against sending to a draining server because no other is left.
    Given all plain servers report that they are leaving
    When 8 requests for "/open/x" are sent one after the other with the key "key-a"
    Then each plain server got 1 request
    And the last request is refused with a time to come back

  Scenario Outline: A server that refuses with a Retry-After gets no request before it ends
    # Guards against sending to a server during its backoff.
    Given the <service> server that gets the first request refuses with Retry-After 300
    When 40 requests for "/<route>/x" are sent one after the other with the key "key-a"
    Then this server got 1 request

    Examples:
      | service | route |
      | plain   | read  |
      | llm     | chat  |

  Scenario: A lapsed entry does not end a server's backoff
    # Guards against losing the backoff when the entry lapses, as in an outage.
    Given the plain server that gets the first request refuses with Retry-After 300
    When 1 requests for "/read/x" are sent one after the other with the key "key-a"
    And its entry lapses, and is written again as ready
    And 8 requests for "/read/x" are sent one after the other with the key "key-a"
    Then this server got 1 request

  Scenario: The next incarnation of a server that sent Retry-After gets requests
    # Guards against excluding a server that restarted under its name.
    Given the plain server that gets the first request refuses with Retry-After 300
    When 1 requests for "/read/x" are sent one after the other with the key "key-a"
    And it starts again under its name
    And 40 requests for "/read/x" are sent one after the other with the key "key-a"
    Then this server got more than 1 request

  Scenario: A 503 with Retry-After excludes its server also if the request may have run
    # Guards against reading Retry-After only in answers that say 'not run'.
    Given the plain server that gets the first request fails with 503 and Retry-After 300
    When 40 requests for "/read/x" are sent one after the other with the key "key-a"
    Then this server got 1 request

  Scenario: A request is not resent to a server that has sent Retry-After meanwhile
    # Guards against resending during a backoff after a kept connection breaks.
    Given the only plain server breaks a kept connection after it refused another request with Retry-After 300
    When a request for "/read/x" is sent on the connection that breaks
    Then the server got no request after that refusal
    And the caller is told that its request may have run

  Scenario: A request is refused at once while all servers are in backoff
    # Guards against sending to a server in backoff because no other is left.
    Given all plain servers refuse with Retry-After 300
    When 8 requests for "/open/x" are sent one after the other with the key "key-a"
    Then each plain server got 1 request
    And the last request is refused with a time to come back

  Scenario Outline: An entry that names no server takes none away
    # Another program writes among the servers' entries.
    When the entry of another server is <entry>
    And 4 requests for "/open/x" come one after the other
    Then each is answered 200

    Examples:
      | entry                     |
      | no JSON                   |
      | a list                    |
      | without an address        |
      | of an unknown state       |
      | of a number for a service |

  Scenario: Servers whose entries lapsed in an outage stay in use
    # The store is down for longer than entries last. When it is back all
    # entries are gone, although every server lives and will be listed again
    # within two seconds: nobody must be refused meanwhile.
    When the store is down, and every plain server's entry lapses
    And the store answers again
    Then a request for "/open/x" without a key gets 200
    And the plain servers are gone once they were missing for too long

  Scenario: A server that left while history was lost is noticed
    # A watch hears nothing while a server leaves, and then the store drops
    # its history. Going on from the present would keep the server for ever.
    When the store forgets its history while the first plain server's entry goes
    And 6 requests for "/open/x" come one after the other
    Then the first plain server got no request

  Scenario: A planned stop turns callers away before it ends
    # The balancer learns within two seconds that an instance is going; until
    # then it still brings callers, who must be served as ever.
    Given the engines answer once they are told to
    When the instance is told to stop while a caller waits
    Then the instance is not ready
    And a request that comes now is answered 200 and its connection closed
    And the waiting caller gets its whole answer
    And the instance has stopped

  Scenario: Limits of the operator bound what callers send
    When a request for "/open/x" comes with a body of 70000 bytes
    Then it is answered 413
    And no server got a request

  Scenario: Operators see counters and state without a sign-in
    When a request for "/read/x" comes with the key "key-a"
    Then the operators' port shows "/metrics" with "amaranthslip_requests_total"
    And the operators' port shows "/api/status" with "tokens_a_second"
    And the operators' port shows "/ready" with "true"
