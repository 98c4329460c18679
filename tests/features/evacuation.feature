Feature: Servers of an evacuated failure domain receive no new requests

  Background:
    Given an instance on the platform with a plain server in each of the failure domains "a" and "b"

  Scenario: An evacuation excludes the servers of a failure domain until it ends
    # Guards against requests to servers whose failure domain is about to stop.
    When the operator evacuates "a"
    And 12 requests for "/open/x" come one after the other
    Then each is answered 200
    And the servers in "a" received no request
    And the status page lists "a" as evacuated
    When the operator ends the evacuation of "a"
    And 40 requests for "/open/x" come one after the other
    Then the servers in "a" received a request

  Scenario: A server that registers during an evacuation is excluded
    # Guards against a server that starts in an evacuated failure domain.
    When the operator evacuates "a"
    And another plain server registers in "a"
    And 12 requests for "/open/x" come one after the other
    Then each is answered 200
    And the servers in "a" received no request

  Scenario: An instance that starts during an evacuation applies it
    # Guards against instances that learn of evacuations from changes only.
    When the operator evacuates "a"
    And another instance starts on the same platform
    And 12 requests for "/open/x" come to it one after the other
    Then each is answered 200
    And the servers in "a" received no request

  Scenario Outline: Evacuations changed during a gap in the history are applied
    # Guards against a change that was dropped from the store's history, or made
    # while the store turned this instance away.
    Given the operator evacuates "b"
    When the store <fault> while the operator ends the evacuation of "b" and evacuates "a"
    And 12 requests for "/open/x" come one after the other
    Then each is answered 200
    And the servers in "a" received no request

    Examples:
      | fault                   |
      | drops its history       |
      | refuses calls           |
      | is overwhelmed by edits |

  Scenario: An evacuation holds while the store is down
    # Guards against a failure domain that returns to use in an outage.
    When the operator evacuates "a"
    And the store stops answering
    And 12 requests for "/open/x" come one after the other
    Then each is answered 200
    And the servers in "a" received no request

  Scenario: A request for which an evacuated server was selected goes elsewhere
    # Guards against requests that wait for a connection when the evacuation
    # begins.
    Given "a" is evacuated after the first server for a request is selected
    When a request for "/read/x" comes with the key "key-a"
    Then it is answered 200
    And the servers in "a" received no request

  Scenario: Requests are refused at once while every failure domain is evacuated
    # Guards against use of an evacuated server because no other is left.
    When the operator evacuates "a"
    And the operator evacuates "b"
    And a request for "/read/x" comes with the key "key-a"
    Then it is answered 503, with a Retry-After
    And no server received a request

  Scenario: A request in progress ends whole during an evacuation
    # Guards against answers that an evacuation cuts off.
    When "a" and "b" are evacuated while a request for "/write/x" is in progress
    Then it is answered 200

  Scenario: An evacuation of an unknown failure domain is logged and excludes nothing
    # Guards against a misspelt name that passes unnoticed.
    When the operator evacuates "typo"
    And 4 requests for "/open/x" come one after the other
    Then each is answered 200
    And the log has a warning about an evacuation of "typo" without servers
