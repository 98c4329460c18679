Feature: Detection of backend servers that crash during requests

  Background:
    Given an instance on the platform with two servers of each service
    And the instance's log is captured

  Scenario Outline: A server crash is distinguished from a broken connection
    # Guards against reporting a crash when a running server closes a connection.
    Given every plain server <event>
    When a request for "/write/x" comes with the key "key-a"
    Then it is answered 502
    And each failed try is logged with server crashed: <crashed>

    Examples:
      | event                    | crashed |
      | crashes                  | yes     |
      | closes without an answer | no      |

  Scenario: A server that exits while it is leaving is not reported as crashed
    # Guards against reporting a planned shutdown as a crash.
    Given the servers crash when released
    When a request for "/write/x" waits for its answer
    And the server running it registers as draining and exits
    Then it is answered 502
    And each failed try is logged with server crashed: no

  Scenario: A crash on a kept connection is detected after a refused resend
    # Guards against missing a crash because the last failure is a refused connection.
    When 6 requests for "/open/x" come one after the other
    Then each is answered 200
    Given every plain server crashes
    When a request for "/read/x" comes with the key "key-a"
    Then it is answered 502
    And each failed try is logged with server crashed: yes

  Scenario: All attempts at a request have the same fingerprint
    # Guards against logs that cannot relate attempts or that merge requests.
    Then these requests match the fingerprint of the first as listed
      | path     | key   | body | same |
      | /read/x  | key-a | one  | yes  |
      | /read/x  | key-a | two  | no   |
      | /read/x  | key-b | one  | no   |
      | /read/y  | key-a | one  | no   |
      | /chat/x  | key-a | one  | no   |
