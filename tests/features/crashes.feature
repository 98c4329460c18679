Feature: Backend servers that crash during requests

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

  Scenario: A server that exits while it is leaving is not reported as crashed
    # Guards against reporting a planned shutdown as a crash.
    Given an instance on the platform with two servers of each service
    And the instance's log is captured
    And the servers crash when released
    When a request for "/write/x" waits for its answer
    And the server running it registers as draining and exits
    Then it is answered 502
    And each failed try is logged with server crashed: no

  Scenario: A crash on a kept connection is detected after a refused resend
    # Guards against missing a crash because the last failure is a refused connection.
    Given an instance on the platform with two servers of each service
    And the instance's log is captured
    When 6 requests for "/open/x" come one after the other
    Then each is answered 200
    Given every plain server crashes
    When a request for "/read/x" comes with the key "key-a"
    Then it is answered 502
    And each failed try is logged with server crashed: yes

  Scenario: All attempts at a request have the same fingerprint
    # Guards against logs that cannot relate attempts or that merge requests.
    Given an instance on the platform with two servers of each service
    And the instance's log is captured
    Then these requests match the fingerprint of the first as listed
      | path     | key   | body | same |
      | /read/x  | key-a | one  | yes  |
      | /read/x  | key-a | two  | no   |
      | /read/x  | key-b | one  | no   |
      | /read/y  | key-a | one  | no   |
      | /chat/x  | key-a | one  | no   |

  Scenario Outline: A request that crashed three servers reaches no other
    # Guards against one request ending server after server, at any instance.
    Given 3 instances before 12 engines
    And the engines crash under the request "poison"
    When the request "poison" for "<path>" comes 10 times, at each instance in turn
    Then it reached no more servers than may crash under it

    Examples:
      | path    |
      | /once/x |
      | /chat/x |
