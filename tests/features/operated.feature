Feature: An instance serves the routes of the platform's operator

  Background:
    Given an instance on the platform with two servers of each service

  Scenario: A request takes the route with the longest prefix, for its account
    # Guards against callers that set reserved headers, such as the account name
    # or a reservation of engine memory, and against a shorter prefix that
    # matches first. The server must never receive the caller's API key.
    When the operator adds the route "/read/deep/" to the service "llm"
    And a request for "/read/deep/x?y=1" sets the headers reserved for the system
    Then a server of "llm" received "/read/deep/x?y=1" for account "account-a"
    And the server received its own name, the remaining time, and no key
    And the server received none of the caller's system headers

  Scenario Outline: A request without a matching route or a valid key is refused
    When a request for "<path>" comes with the key "<key>"
    Then it is answered <status> with the code "<code>"
    And no server received a request

    Examples:
      | path    | key   | status | code          |
      | /none/x | key-a | 404    | route_unknown |
      | /read/x | key-z | 401    | unauthorised  |

  Scenario Outline: An instance with stale routes and keys sends no final error
    # Guards against final 'unknown' errors for a route or key that was added
    # while the instance could not reach the store. After a 503 with a
    # Retry-After, the caller can reach an instance that is up to date.
    When the store refuses every call for longer than a new version may take to apply
    And a request for "<path>" comes with the key "<key>"
    Then it is answered 503 with the code "<code>"

    Examples:
      | path    | key   | code                      |
      | /none/x | key-a | configuration_unconfirmed |
      | /read/x | key-z | keys_unconfirmed          |

  Scenario: A key is refused once its revocation may have been missed
    # Guards against an instance that can't reach the store and continues to
    # accept a key which the operator has revoked.
    When the store refuses every call for longer than a revocation may take
    Then the instance is not ready
    And a request for "/read/x" with the key "key-a" gets 503
    And a request for "/open/x" without a key gets 200
    When the store answers again
    Then the instance is ready again
    And a request for "/read/x" with the key "key-a" gets 200

  Scenario: An instance that lags behind the store sends to no server
    # Guards against an overloaded instance that sends to servers whose leaving
    # it has not processed yet.
    When the instance falls 3 seconds behind the store's changes
    And a request for "/read/x" comes with the key "key-a"
    Then it is answered 503 with the code "servers_unconfirmed"
    And it is answered 503, with a Retry-After
    And no server received a request

  Scenario: A failure of the store in the past does not hide a lag
    # Guards against an instance that lost the store once, has followed it
    # through other instances since, and passes for one without a store.
    When the store stops answering
    And the store answers again
    And the instance falls 3 seconds behind the store's changes
    And a request for "/read/x" comes with the key "key-a"
    Then it is answered 503 with the code "servers_unconfirmed"

  Scenario: An instance that lost the store sends to the servers it knows
    # Guards against an outage of the store that ends all service.
    When the store stops answering
    And the instance falls 3 seconds behind the store's changes
    Then a request for "/read/x" with the key "key-a" gets 200

  Scenario: A revoked key is refused once the new version is in force
    When the operator revokes the key "key-a"
    Then a request for "/read/x" with the key "key-a" gets 401
    And a request for "/read/x" with the key "key-b" gets 200

  Scenario: No key is valid once the last client account is removed
    # Guards against an empty list of accounts that opens all routes to everyone.
    When the operator removes all client accounts
    Then a request for "/read/x" with the key "key-a" gets 401
    And a request for "/read/x" with the key "key-z" gets 401
    And a request for "/read/x" without a key gets 401
    And no server received a request
    And a request for "/open/x" without a key gets 200

  Scenario: No key is valid at an instance that starts without client accounts
    # Guards against an instance that opens all routes because the first version
    # that it reads holds an empty list of accounts.
    When another instance starts after the operator removed all client accounts
    Then a request for "/read/x" with the key "key-a" gets 401
    And a request for "/read/x" without a key gets 401
    And no server received a request

  Scenario: Requests need no key where the operator does not use client accounts
    When the operator writes a version without a list of client accounts
    Then a request for "/read/x" without a key gets 200

  Scenario: The key of an account without a name is checked again before it is used
    # Guards against a request that counts as sent without a key, because the
    # name of its account is empty.
    When the operator takes the names of all client accounts away
    And the head of a request for "/read/x" comes without its body
    And the store refuses every call for longer than a revocation may take
    And the body of the request comes
    Then it is answered 503 with the code "keys_unconfirmed"
    And no server received a request

  Scenario: A lower version is never put in force
    When the operator writes version 5, and then the older version 3
    Then version 5 is in force

  Scenario: A stream resumes at another engine after the last whole event
    # Guards against repeated, missing or partial events when an engine fails in
    # the middle of an event. The answer keeps the first engine's signature, as
    # its headers were sent already.
    Given the first engine ends the stream in the middle of event 4
    When a caller requests a stream from "/chat/x"
    Then the caller receives events 1 to 9 once each, and the end of the stream
    And the answer is signed by the first engine
    And the second engine was asked to resume after event 3

  Scenario: A stream that can't be resumed is aborted without an end
    # Guards against an incomplete stream that the caller takes for a whole one:
    # an error answer of the second engine, if appended to the events that were
    # relayed before, would end the stream regularly.
    Given the first engine ends the stream in the middle of event 4
    And the second engine answers 500
    When a caller requests a stream from "/chat/x"
    Then the caller receives events 1 to 3 and no end of the stream

  Scenario: An unexpected error in the router aborts a stream without an end
    # Guards against an error answer appended to a stream after an unexpected
    # exception, which would end the stream as if it were whole.
    Given the engines send events 1 to 9 one at a time
    And an unexpected error occurs in the relay of event 4
    When a caller requests a stream from "/chat/x"
    Then the caller receives events 1 to 3 and no end of the stream

  Scenario: An instance that is behind schedule refuses requests at once
    # Guards against overload by unevenly distributed connections: requests wait
    # unread for seconds, are forwarded after their callers have disconnected,
    # and delay the streams in progress.
    When the event loop is 61 seconds behind schedule
    And a request for "/read/x" comes with the key "key-a"
    Then it is answered 503 with the code "instance_busy"
    And it is answered 503, with a Retry-After
    And no server received a request
    When the event loop is 0 seconds behind schedule
    Then a request for "/read/x" with the key "key-a" gets 200

  Scenario Outline: The headers of an answer are sent together with its first bytes
    # Guards against two system calls for each answer, which an overloaded
    # instance has no time for.
    When the system calls for the answer to a request for "<path>" are counted
    Then it is answered <status>
    And the answer took 1 system call

    Examples:
      | path    | status |
      | /read/x | 200    |
      | /none/x | 404    |

  Scenario: A request is not forwarded after its caller disconnected
    # Guards against engine work without a recipient: a busy instance reads the
    # request only after its caller has closed the connection.
    Given the instance does not watch for callers that disconnect
    When a caller of "/read/x" disconnects before its request is forwarded
    Then no server received a request

  Scenario: A request that can't be forwarded as valid HTTP is refused as not run
    When a request for "/write/x" has a method that HTTP does not allow
    Then it is answered 400
    And no server received a request

  Scenario: A stream that may not run twice is aborted and not retried
    Given the first engine ends the stream in the middle of event 4
    When a caller requests a stream from "/once/x"
    Then the caller receives events 1 to 3 and no end of the stream
    And one engine received a request

  Scenario: A stream is aborted where an engine skips events
    Given the first engine sends events 1 to 3 and then 5 to 9
    When a caller requests a stream from "/once/x"
    Then the caller receives events 1 to 3 and no end of the stream

  Scenario: A stream that a client resumes begins after its last event
    Given the engines send events 6 to 9
    When a caller requests a stream from "/chat/x" after event 5
    Then the caller receives events 6 to 9 once each, and the end of the stream
    And the first engine was asked to resume after event 5

  Scenario: A request lost on a kept connection counts as a run
    # Guards against uncounted resends: a server that crashes during a request
    # on a reused connection looks like one that closed an idle connection. A
    # resend that is not counted would run the request more often than its
    # route and the retry budget allow.
    When 6 requests for "/open/x" come one after the other
    Then each is answered 200
    Given every plain server closes without an answer
    When a request for "/read/x" comes with the key "key-a"
    Then it is answered 502
    And the plain servers received 8 requests

  Scenario Outline: A request that may have run is never reported as not run
    # Guards against duplicate bookings: if the answer is lost, or has a status
    # that implies 'not run' without the header that confirms it, a 503 would
    # make the client send the booking a second time.
    Given the first plain server <fault>
    When a request for "/write/x" comes with the key "key-a"
    Then it is answered <status>
    And one server received a request

    Examples:
      | fault                                       | status |
      | closes without an answer                    | 502    |
      | answers 503 without a not-run header        | 502    |
      | answers 429 without a not-run header        | 502    |
      | answers 200 without a signature             | 502    |
      | answers 200 with an encoded body            | 502    |
      | answers 500                                 | 500    |
      | resets the connection in an unframed answer | 502    |

  Scenario: A server's Retry-After is not passed on with a replaced status
    # Guards against callers waiting out one server's backoff.
    Given the first plain server answers 503 with a Retry-After
    When a request for "/write/x" comes with the key "key-a"
    Then it is answered 502
    And the answer has no Retry-After

  Scenario Outline: A request that has certainly not run is sent to another server
    Given the first plain server <fault>
    When a request for "/write/x" comes with the key "key-a"
    Then it is answered 200

    Examples:
      | fault                               |
      | reports that it did not run it      |
      | is a different server than expected |
      | refuses connections                 |

  Scenario: An answer says 'not run' if every server did
    Given every plain server reports that it did not run it
    When a request for "/write/x" comes with the key "key-a"
    Then it is answered 503, with a Retry-After

  Scenario: An idempotent request is sent again after a server's error
    Given the first plain server answers 500
    When a request for "/read/x" comes with the key "key-a"
    Then it is answered 200
    And two servers received a request

  Scenario: A request runs at most as often as its route allows
    Given every plain server answers 500
    When a request for "/read/x" comes with the key "key-a"
    Then it is answered 500
    And two servers received a request

  Scenario: A repeated answer to an earlier request is discarded
    # Guards against disclosure of another customer's data: if a server answers a
    # request twice, the second answer stays in the kept connection and would
    # be relayed as the answer to the next request.
    Given the plain servers repeat each answer before their next answer
    When two callers request "/open/x" one after the other
    Then each caller receives the answer to its own request

  Scenario: An answer without a length is complete when its connection closes
    Given every plain server answers without a length and closes
    When a request for "/open/x" comes with the key ""
    Then it is answered 200 with the body "whole"

  Scenario: The engine's work is cancelled when the caller disconnects
    Given the engines never answer
    When a caller of "/chat/x" disconnects while its engine works
    Then the connection to the engine is closed

  Scenario: A request without an answer ends at its route's timeout
    Given the plain servers never answer
    When the operator sets the timeout of "write" to 300 milliseconds
    And a request for "/write/x" comes with the key "key-a"
    Then it is answered 504

  Scenario: A server that is leaving receives no more requests
    When the first plain server registers as leaving
    And 6 requests for "/open/x" come one after the other
    Then the first plain server received no request

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

  Scenario Outline: A server whose answer reports that it is leaving receives no more requests
    # Guards against sending to a draining server until its entry changes.
    Given the <service> server that gets the first request reports in its <answer> that it is leaving
    When 40 requests for "/<route>/x" are sent one after the other with the key "key-a"
    Then this server received 1 request

    Examples:
      | service | route | answer        |
      | plain   | read  | whole answer  |
      | plain   | read  | error         |
      | plain   | read  | refusal       |
      | llm     | chat  | stream's head |

  Scenario: A ready entry does not make a leaving server available again
    # Guards against a stale entry that overrides what the answer reported.
    Given the plain server that gets the first request reports in its whole answer that it is leaving
    When 1 requests for "/read/x" are sent one after the other with the key "key-a"
    And its entry expires and is written again as ready
    And 8 requests for "/read/x" are sent one after the other with the key "key-a"
    Then this server received 1 request

  Scenario: The next incarnation of a server that was leaving receives requests
    # Guards against excluding a server that restarted under its name.
    Given the plain server that gets the first request reports in its whole answer that it is leaving
    When 1 requests for "/read/x" are sent one after the other with the key "key-a"
    And it restarts under its name
    And 40 requests for "/read/x" are sent one after the other with the key "key-a"
    Then this server received more than 1 request

  Scenario: A request is refused at once while all servers are leaving
    # Guards against sending to a draining server because no other is left.
    Given all plain servers report that they are leaving
    When 8 requests for "/open/x" are sent one after the other with the key "key-a"
    Then each plain server received 1 request
    And the last request is refused with a Retry-After

  Scenario Outline: A server that refuses with a Retry-After receives no request before it ends
    # Guards against sending to a server during its backoff.
    Given the <service> server that gets the first request refuses with Retry-After 300
    When 40 requests for "/<route>/x" are sent one after the other with the key "key-a"
    Then this server received 1 request

    Examples:
      | service | route |
      | plain   | read  |
      | llm     | chat  |

  Scenario: An expired entry does not end a server's backoff
    # Guards against losing the backoff when the entry expires, as in an outage.
    Given the plain server that gets the first request refuses with Retry-After 300
    When 1 requests for "/read/x" are sent one after the other with the key "key-a"
    And its entry expires and is written again as ready
    And 8 requests for "/read/x" are sent one after the other with the key "key-a"
    Then this server received 1 request

  Scenario: The next incarnation of a server that sent Retry-After receives requests
    # Guards against excluding a server that restarted under its name.
    Given the plain server that gets the first request refuses with Retry-After 300
    When 1 requests for "/read/x" are sent one after the other with the key "key-a"
    And it restarts under its name
    And 40 requests for "/read/x" are sent one after the other with the key "key-a"
    Then this server received more than 1 request

  Scenario: A 503 with Retry-After excludes its server also if the request may have run
    # Guards against reading Retry-After only in answers that say 'not run'.
    Given the plain server that gets the first request fails with 503 and Retry-After 300
    When 40 requests for "/read/x" are sent one after the other with the key "key-a"
    Then this server received 1 request

  Scenario: A request is not resent to a server that has sent Retry-After meanwhile
    # Guards against resending during a backoff after a kept connection breaks.
    Given the only plain server breaks a kept connection after it refused another request with Retry-After 300
    When a request for "/read/x" is sent on the connection that breaks
    Then the server received no request after that refusal
    And the answer says that the request may have run

  Scenario: A request is refused at once while all servers are in backoff
    # Guards against sending to a server in backoff because no other is left.
    Given all plain servers refuse with Retry-After 300
    When 8 requests for "/open/x" are sent one after the other with the key "key-a"
    Then each plain server received 1 request
    And the last request is refused with a Retry-After

  Scenario Outline: An invalid server entry does not affect other servers
    # Guards against invalid entries that another program writes to the prefix of
    # the server entries.
    When the entry of another server is <entry>
    And 4 requests for "/open/x" come one after the other
    Then each is answered 200

    Examples:
      | entry                    |
      | not JSON                 |
      | a list                   |
      | without an address       |
      | with an unknown state    |
      | with a number as service |

  Scenario: Servers whose entries expired in a store outage stay in use
    # Guards against refusals after a store outage that outlasts the entries:
    # all entries are gone, although every server runs and registers again
    # within two seconds.
    When the store is down, and every plain server's entry expires
    And the store answers again
    Then a request for "/open/x" without a key gets 200
    And the plain servers are removed after missing for too long

  Scenario: A removed server is detected after the store lost its history
    # Guards against keeping a removed server forever: its entry is removed, and
    # the store compacts its history before the watch receives the removal. A
    # watch that continued from the current revision would miss the removal.
    When the first plain server's entry is removed and the store's history compacted
    And 6 requests for "/open/x" come one after the other
    Then the first plain server received no request

  Scenario: A planned stop serves callers until the load balancer has reacted
    # Guards against failed requests during a shutdown: the load balancer detects
    # within two seconds that an instance is stopping, and sends callers to it
    # until then.
    Given the engines delay their answers until released
    When the instance is stopped while a caller waits
    Then the instance is not ready
    And a new request is answered 200 and its connection is closed
    And the waiting caller receives its whole answer
    And the instance has stopped

  Scenario: The operator's limits apply to request bodies
    When a request for "/open/x" comes with a body of 70000 bytes
    Then it is answered 413
    And no server received a request

  Scenario: Counters and status are served to operators without a sign-in
    When a request for "/read/x" comes with the key "key-a"
    Then the operators' port serves "/metrics" with "amaranthslip_requests_total"
    And the operators' port serves "/api/status" with "tokens_a_second"
    And the operators' port serves "/ready" with "true"

  Scenario Outline: A server's report of its load is used and not passed on
    # Guards against callers that learn how busy servers are, and against changes
    # for servers that do not tell when they started.
    Given all servers <register> when they started
    When a request for "/read/x" comes with the key "key-a"
    Then the caller gets no report of a server's load
    And the status shows <estimates> estimate of a plain server with an age

    Examples:
      | register        | estimates |
      | register        | 1         |
      | do not register | 0         |

  Scenario: A request that comes while the instance lags takes no old route
    # Guards against a route that is looked up while the instance lags, and used
    # after it has caught up: the request waits for its body in between, and runs
    # at the service from which the operator has long moved the route.
    Given the instance lags 31 seconds behind the store's changes
    When the head of a request for "/read/x" comes without its body
    And the operator moves the route "read" to the service "llm"
    And the instance catches up, and the body comes
    Then it is answered 503 with the code "configuration_unconfirmed"
    And no server received a request
