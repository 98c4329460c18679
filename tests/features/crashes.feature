Feature: Backend servers that crash while they run requests

  Scenario Outline: A server crash is distinguished from a broken connection
    # Guards against reporting a crash when a running server closes a connection.
    Given an instance on the platform with two servers of each service
    And the instance's log is captured
    And every plain server <event>
    When a request for "/write/x" comes with the key "key-a"
    Then it is answered 502
    And each failed try is logged with server crashed: <crashed>

    Examples:
      | event                    | crashed |
      | crashes                  | yes     |
      | closes without an answer | no      |

  Scenario: A draining server that exits is not reported as crashed
    # Guards against reporting a planned shutdown as a crash.
    Given an instance on the platform with two servers of each service
    And the instance's log is captured
    And the servers crash when released
    When a request for "/write/x" waits for its answer
    And the server running it registers as draining and exits
    Then it is answered 502
    And each failed try is logged with server crashed: no

  Scenario: A crash on a reused connection is detected if the resend is refused
    # Guards against missing a crash if the resend fails with a refused connection.
    Given an instance on the platform with two servers of each service
    And the instance's log is captured
    When 6 requests for "/open/x" come one after the other
    Then each is answered 200
    Given every plain server crashes
    When a request for "/read/x" comes with the key "key-a"
    Then it is answered 502
    And each failed try is logged with server crashed: yes

  Scenario: All attempts at a request have the same fingerprint
    # Guards against logs that cannot group attempts or that mix up requests.
    Given an instance on the platform with two servers of each service
    And the instance's log is captured
    Then these requests match the fingerprint of the first as listed
      | path     | key   | body | same |
      | /read/x  | key-a | one  | yes  |
      | /read/x  | key-a | two  | no   |
      | /read/x  | key-b | one  | no   |
      | /read/y  | key-a | one  | no   |
      | /chat/x  | key-a | one  | no   |

  Scenario Outline: A request that crashed three servers is not sent to another
    # Guards against one request crashing server after server, at any instance.
    Given 3 instances in front of 12 engines
    And the engines crash under the request "poison"
    When the request "poison" for "<path>" is sent 10 times, to each instance in turn
    Then at most the allowed number of engines have crashed

    Examples:
      | path    |
      | /once/x |
      | /chat/x |

  Scenario: Each instance refuses a request that crashed three servers
    # Guards against crash counts that are not shared between instances.
    Given 3 instances in front of 6 engines
    And the engines crash under the request "poison"
    When the request "poison" for "/once/x" is sent 3 times, to each instance in turn
    Then each instance refuses "poison" for "/once/x" as "crashes_servers"
    And 3 engines have crashed
    And each instance serves "other" for "/once/x"

  Scenario: A quarantined request is still refused after all instances restart
    # Guards against losing the quarantine when all instances restart.
    Given 3 instances in front of 6 engines
    And the engines crash under the request "poison"
    When the request "poison" for "/once/x" is sent 3 times, to each instance in turn
    And all instances are replaced after the quarantine is stored
    Then each instance refuses "poison" for "/once/x" as "crashes_servers"
    And 3 engines have crashed

  Scenario: An operator can release a quarantined request
    # Guards against refusing a request after the cause of the crashes is fixed.
    Given 3 instances in front of 6 engines
    And the engines crash under the request "poison"
    When the request "poison" for "/once/x" is sent 3 times, to each instance in turn
    And the operator deletes the stored quarantine entry
    And the engines are fixed
    Then each instance serves "poison" for "/once/x"

  Scenario: Requests that were running on crashed servers are not refused
    # Guards against quarantining requests that a crash interrupted.
    Given 3 instances in front of 6 engines
    And the engines crash under the request "poison", and delay others
    When requests are in progress at "/once/x" while "poison" is sent 3 times
    Then the delayed requests are answered, or served when sent again

  Scenario Outline: Configured services refuse a request that crashed three servers
    # Guards against unlimited crashes where servers do not register themselves.
    Given an entry in front of six plain servers and six engines that crash
    When the same <kind> request is sent 6 times
    Then the last attempt is refused as "crashes_servers"
    And 3 of the servers have crashed

    Examples:
      | kind     |
      | plain    |
      | chat     |
      | streamed |

  Scenario: A request that is sent repeatedly remains refused
    # Guards against a repeated request that crashes servers every ten minutes.
    Given a fleet in which servers crashed 3 times under a request
    When the request is sent 5 times at intervals of 400 seconds
    Then the fleet refused the request each time
    When 601 seconds pass
    Then the fleet admits the request

  Scenario: A completion at another instance discards earlier crashes
    # Guards against adding up unrelated crashes under a common request.
    Given a fleet in which servers crashed 2 times under a request
    When the request completes at another instance, and 100 seconds pass
    And servers crash 2 times under the request
    Then the fleet admits the request

  Scenario: A stream that progresses between crashes is not quarantined
    # Guards against quarantining a long stream that crashes interrupt repeatedly.
    Given a fleet in which servers crashed 2 times under a request
    When servers crash under the request after the events 10, 20, 30 and 40
    Then the fleet admits the request
    When servers crash under the request after the events 40, 40
    Then the fleet refuses the request

  Scenario: A common request in flight at the crashes of another is served again
    # Guards against a request of many callers that is refused for good: it was in
    # flight at three crashes that another request caused, and had not been
    # answered before. It keeps coming, so that its quarantine would never end.
    Given a fleet in which servers crashed 3 times under a common and a deadly request
    When both are sent to each instance for 20 seconds
    Then each instance admits the common request
    And each instance refuses the deadly one, which crashed at most 3 more servers

  Scenario: A trial without an outcome is repeated soon
    # Guards against a common request that is refused for ten seconds more, because
    # its first trial ended when its server was lost for another reason.
    Given a fleet in which servers crashed 3 times under a common and a deadly request
    And the first trial of the common request ends without an outcome
    When both are sent to each instance for 12 seconds
    Then each instance admits the common request
    And each instance refuses the deadly one, which crashed at most 3 more servers

  Scenario: Of several deadly requests with the same crashes none is run for good
    # Guards against trials that never end, because both are in flight at every
    # further crash.
    Given a fleet in which servers crashed 3 times under two deadly requests
    When both are sent to each instance for 60 seconds
    Then each instance refuses both, and they crashed at most 6 more servers

  Scenario: A stored request stays quarantined if one server crashed each time
    # Guards against loading separate crashes of a server as one crash.
    Given a fleet in which one configured server crashed 3 times under a request
    When the store is written, and all instances are replaced
    Then the fleet refuses the request

  Scenario: A crash of a listed server that is reported late counts once
    # Guards against refusing a request for one crash, of which instances that were
    # cut off tell seconds later.
    Given a fleet of instances without crashes
    When one crash of a listed server is reported 3 times, 5 s apart
    Then the fleet admits the request

  Scenario: A request that completes is removed from the store
    # Guards against quarantining a completed request again after a restart.
    Given a fleet in which servers crashed 3 times under a request
    When the request completes at the instance that reported the last crash
    And the store is written, and all instances are replaced
    Then the fleet admits the request

  Scenario: Crashes are counted correctly despite failures of instances and store
    # Guards against losing crashes, or quarantining other requests, in a
    # partition, a store outage or a restart.
    When the quarantine state machine runs 300 times with 30 steps
    Then no run of the quarantine state machine failed
