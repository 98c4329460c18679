Feature: Malformed, oversized and slow requests are refused

  Background:
    Given an entry before a stand-in engine and a stand-in booking service

  Scenario Outline: A <fault> request is refused with a reason and affects no one else
    # One client account's program is faulty or hostile. It must get the reason
    # of the refusal, and requests of other accounts must be unaffected.
    When a caller sends the entry a <fault> request
    Then the entry refuses the request with <status> and "<code>" as not run
    And another caller of the entry is still served
    And the entry sent no request of the refused caller to a backend server

    Examples:
      | fault             | status | code              |
      | keyless           | 401    | unauthorised      |
      | unknown-key       | 401    | unauthorised      |
      | non-JSON          | 400    | malformed         |
      | model-less        | 400    | malformed         |
      | forbidden-service | 404    | service_unknown   |
      | unknown-path      | 404    | path_unknown      |
      | unknown-kind      | 404    | kind_unknown      |
      | wrong-method      | 405    | method_not_allowed |
      | oversized         | 413    | body_too_large    |
      | oversized-chunked | 413    | body_too_large    |
      | large-header      | 431    | headers_too_large |
      | long-target       | 414    | target_too_long   |
      | folded-header     | 400    | malformed         |
      | two-length        | 400    | malformed         |
      | signed-length     | 400    | malformed         |
      | unknown-coding    | 400    | malformed         |
      | dot-path          | 400    | malformed         |
      | slow-header       | 408    | header_timeout    |
      | slow-body         | 408    | body_timeout      |

  Scenario: A connection over the limit is refused with a reason
    # A faulty load balancer opens connections indefinitely. Without a limit,
    # the instance runs out of file descriptors and can serve no caller.
    Given the entry allows 3 connections
    When 3 callers hold connections to the entry
    Then the entry refuses a further connection with "connections"
    When one of these callers disconnects from the entry
    Then another caller of the entry is still served

  Scenario Outline: The memory limit also limits the number of open connections
    # Refused callers retried on new connections and kept the old ones open:
    # 3,592 at one instance with 150 MB. The platform ended the instance, and
    # all requests running there were lost.
    Given the entry has <memory> megabytes of memory and allows 4000 connections
    Then <count> connections may be open at the entry

    Examples:
      | memory | count |
      | 0      | 4000  |
      | 150    | 2687  |
      | 300    | 4000  |
      | 32     | 1     |

  Scenario Outline: Refusals close their connections while many are open
    Given the entry allows 4 connections
    When <count> callers hold connections to the entry
    And another caller is refused by the entry
    Then the entry <action> the connection with its answer

    Examples:
      | count | action    |
      | 0     | keeps     |
      | 2     | closes    |
