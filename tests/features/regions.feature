Feature: Requests stay in the regions that the operator allows

  Background:
    Given an instance on the platform with a plain server in each of the regions "r1" and "r2"

  Scenario Outline: Only servers in the allowed regions receive requests
    # Guards against a request that leaves the regions to which the operator
    # bound its route or its client account.
    When the operator allows the regions "<route>" for the route and "<account>" for the account
    And 12 requests for "/read/x" are sent with the key "key-a"
    Then only the server in "<received>" received requests

    Examples:
      | route | account | received |
      | r1    |         | r1       |
      |       | r2      | r2       |
      | r1 r2 | r2      | r2       |

  Scenario Outline: Requests without a server in an allowed region are refused at once
    # Guards against use of another region because none is left, and against a
    # server whose region is not known.
    When the operator allows the regions "<route>" for the route and "<account>" for the account
    And a request for "/read/x" comes with the key "key-a"
    Then it is answered 503 with the code "no_server_in_region"
    And no server received a request

    Examples:
      | route | account |
      | r1    | r2      |
      | r3    |         |

  Scenario: A configuration with regions in another form is rejected
    # Guards against a restriction that is silently read as none.
    When the operator writes allowed regions in another form
    Then version 1 is still in force, and the log names the field
