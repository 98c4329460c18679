Feature: What is malformed, too much or too slow is refused

  Background:
    Given an entry before a stand-in engine and a stand-in booking service

  Scenario Outline: A <fault> request is refused in words and costs no one else
    # One client account's program is broken or hostile. It must see what is
    # wrong, and the others' requests must go on as if it were not there.
    When a caller sends the entry a <fault> request
    Then the entry refuses it with <status> and "<code>" as not run
    And another caller of the entry is still served
    And the entry sent no request of the refused caller to a backend server

    Examples:
      | fault             | status | code              |
      | keyless           | 401    | unauthorised      |
      | wrongly keyed     | 401    | unauthorised      |
      | non-JSON          | 400    | malformed         |
      | modelless         | 400    | malformed         |
      | forbidden         | 404    | service_unknown   |
      | misdirected       | 404    | path_unknown      |
      | misnamed-kind     | 404    | kind_unknown      |
      | wrong-method      | 405    | method_not_allowed |
      | oversized         | 413    | body_too_large    |
      | oversized-chunked | 413    | body_too_large    |
      | long-headed       | 431    | headers_too_large |
      | long-lined        | 414    | target_too_long   |
      | folded-header     | 400    | malformed         |
      | two-length        | 400    | malformed         |
      | odd-length        | 400    | malformed         |
      | odd-coding        | 400    | malformed         |
      | dot-path          | 400    | malformed         |
      | slow-headed       | 408    | header_timeout    |
      | slow-bodied       | 408    | body_timeout      |

  Scenario: One connection too many is told so
    # A balancer gone wrong opens connections without end. Without a limit
    # the instance runs out of descriptors and serves nobody.
    Given the entry allows 3 connections
    When 3 callers hold connections to the entry
    Then the entry refuses a further connection with "connections"
    When one of them leaves the entry
    Then another caller of the entry is still served

  Scenario Outline: Memory bounds the connections that may be open
    # Callers that were refused came back on new connections and kept the old
    # ones: 3,592 at one instance of 150 MB, which its platform then ended, and
    # all that ran there was lost.
    Given the entry has <memory> megabytes, and allows 4000 connections
    Then <count> connections may be open at the entry

    Examples:
      | memory | count |
      | 0      | 4000  |
      | 150    | 2687  |
      | 300    | 4000  |
      | 32     | 1     |

  Scenario Outline: Where many connections are open, refusals close theirs
    Given the entry allows 4 connections
    When <count> callers hold connections to the entry
    And another caller is refused by the entry
    Then the entry <does> its connection with the answer

    Examples:
      | count | does      |
      | 0     | keeps     |
      | 2     | closes    |
