Feature: The requests of disconnected callers release their resources

  Scenario Outline: A disconnect while <stage> releases the engine
    # Students close the page during a request. An engine that continues such
    # a request has one slot less for the waiting requests.
    Given a relay and an engine for the stage <stage>
    When a caller of the relay starts a stream and disconnects while <stage>
    Then the request of the relay's caller is cancelled
    And the relay counts a disconnected caller

    Examples:
      | stage     |
      | queued    |
      | silent    |
      | streaming |

  Scenario: A caller that does not read its response holds no slot
    Given a relay with a write timeout of 0.3 s and an endless stream
    When a caller of the relay starts a stream and reads nothing
    Then the request of the relay's caller is cancelled

  Scenario: An engine that cuts off a response left unread has not failed
    # Guards against ejecting engines, and occupying others, for slow callers.
    Given a relay and an engine that cuts off responses left unread
    When a caller of the relay reads nothing until then, and slowly afterwards
    Then the relay counts the response as aborted for its caller
    And the only grant ended as cancelled

  Scenario: A booking request continues after its caller disconnects
    # A parent closes the page during a payment. The payment may already have
    # been made, so it continues, and its claim gives the outcome to a retry.
    Given a relay in front of a booking server that delays its response
    When a caller of the relay sends a booking with a key and disconnects
    Then the relay settles the claim as DONE once the server responds

  Scenario: A slot is released after the last token, not with the connection
    # The engine has finished, but the end of its response arrives late. A
    # slot held until then would be idle while other requests wait.
    Given a relay in front of an engine that keeps its connection open
    When a caller of the relay reads its stream up to "[DONE]"
    Then the relay has released the slot as DONE
