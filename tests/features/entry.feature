Feature: The HTTP entry serves callers and shuts down without cutting answers

  Background:
    Given an entry before a stand-in engine and a stand-in booking service

  Scenario: Complete and streamed answers are relayed and charged by tokens used
    When a caller requests an unstreamed chat of 6 tokens from the entry
    And a caller requests a streamed chat of 6 tokens from the entry
    And a caller requests a streamed completion of 6 tokens from the entry
    Then each caller of the entry got a complete answer of 6 tokens
    And the entry charged each grant for prompt and generated tokens
    And no caller of the entry gets usage that it did not request

  Scenario: Token usage is sent only to callers that request it
    When a caller requests a stream with final usage from the entry
    Then only the last event of the entry's stream holds usage
    When a caller requests a stream with usage in each event from the entry
    Then each event of the entry's stream holds usage

  Scenario: A percent-encoded or double-slash path is matched as a booking
    # A client sends /%62ookings or //bookings for /bookings. Matched without
    # normalisation, the path would get a request kind that may be retried,
    # and a lost answer would lead to a second booking.
    Given the booking service executes requests but loses every answer
    When a caller of the entry books at "/services/booking/%62ookings/1"
    And a caller of the entry books at "/services/booking//bookings/2"
    Then the entry reports an unknown outcome to both bookings' callers
    And each of the entry's bookings was executed once

  Scenario: A plain request is forwarded unchanged, without its bearer key
    When a caller of the entry sends a plain request with its own headers
    Then the service behind the entry got the same method, path and body
    And the service got neither the bearer key nor the caller's hop-by-hop headers

  Scenario: An idempotency key is claimed, and its repetition is refused
    When a caller of the entry books with the idempotency key "k1"
    Then the entry's claim of "k1" is settled as DONE
    When a caller of the entry repeats the booking with the key "k1"
    Then the entry answers "already_done" and the booking was executed once

  Scenario: The claim of a booking that may have run is settled as RUNNING
    # The answer is lost after the booking was executed. A claim settled as
    # done or as not run could give a wrong answer to a repeated request.
    Given the booking service executes requests but loses every answer
    When a caller of the entry books with the idempotency key "k3"
    Then the entry's claim of "k3" is settled as RUNNING

  Scenario: A request whose claim fails is not sent
    # No claim can be made because the key-value service is down. The request
    # is refused as not run, so the booking must not be executed.
    Given the entry's claims are refused
    When a caller of the entry books with the idempotency key "k2"
    Then the entry answers "claims_down" and reports the request as not run
    And the booking behind the entry was never executed
    And the entry returned its grant unused

  Scenario: A changed configuration applies to the next request
    When the key of "escola-sol" is removed from the entry's configuration
    Then the entry refuses the next request of "escola-sol" with 401
    And the entry still serves "agencia-lua"

  Scenario: A planned shutdown interrupts no running stream
    # An instance is replaced while a stream runs and other callers keep
    # connections open. The stream must complete. A new request must be refused
    # as not run, on a connection that then closes, with a Retry-After.
    Given the entry relays a stream of 60 tokens
    And a caller keeps a connection to the entry open
    When the entry drains
    Then the open connection to the entry gets 503 "stopping" and is closed
    And the entry's stream completes with 60 tokens
    And the entry no longer listens

  Scenario: A planned shutdown waits for a caller that reads slowly
    # The last bytes of a long answer are buffered in the instance for a slow
    # caller. An instance that stops as soon as the application has written
    # the answer would lose them.
    Given the entry is sending a long answer to a caller that reads slowly
    When the entry drains
    Then the entry waits until the slow caller has the complete answer
