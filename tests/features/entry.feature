Feature: Callers are served at the entry, and stops cut nothing off

  Background:
    Given an entry before a stand-in engine and a stand-in booking service

  Scenario: Whole and streamed answers come through, and cost what they used
    When a caller asks the entry for a whole chat of 6 tokens
    And a caller asks the entry for a streamed chat of 6 tokens
    And a caller asks the entry for a streamed completion of 6 tokens
    Then each caller of the entry got its 6 tokens and the end
    And the entry charged each grant for prompt and tokens
    And no caller of the entry sees usage that it did not ask for

  Scenario: Usage goes to those who asked for it
    When a caller asks the entry for a stream with the usage at the end
    Then the entry's stream ends with the usage and has none before
    When a caller asks the entry for a stream with usage all along
    Then each event of the entry's stream holds usage

  Scenario: A path in disguise is still a booking
    # A parent's client sends /%62ookings for /bookings. Matched as written,
    # it would be of the kind that may be repeated, and a lost answer would
    # book twice.
    Given the booking service loses every answer after executing
    When a caller of the entry books at "/services/booking/%62ookings/1"
    And a caller of the entry books at "/services/booking//bookings/2"
    Then the entry tells both bookings' callers that the outcome is unknown
    And each of the entry's bookings was executed once

  Scenario: A plain request passes through whole, without its key
    When a caller of the entry sends a plain request with its own headers
    Then the service behind the entry got the same method, path and body
    And it got neither the bearer key nor the entry's hop-by-hop headers

  Scenario: A claim comes before the first byte, and is settled after
    When a caller of the entry books with the idempotency key "k1"
    Then the entry's claim of "k1" is settled as DONE
    When the same booking comes again to the entry with the key "k1"
    Then the entry says so and the booking was executed once

  Scenario: The claim of a booking that may have run stays open
    # The answer is lost after the booking was executed. Settled as done or
    # as not run, its key would tell whoever asks again something untrue.
    Given the booking service loses every answer after executing
    When a caller of the entry books with the idempotency key "k3"
    Then the entry's claim of "k3" is settled as RUNNING

  Scenario: Without a claim nothing is sent
    # The key-value service is down: no claim can be made. The request is
    # refused as not run, and that has to be true.
    Given the entry's claims are refused
    When a caller of the entry books with the idempotency key "k2"
    Then the entry's answer says "claims_down" as not run
    And the booking behind the entry was never executed
    And the entry's grant came back unused

  Scenario: A changed configuration holds for the next request
    When the entry's configuration drops the key of "escola-sol"
    Then the entry refuses the next request of "escola-sol" with 401
    And the entry serves "agencia-lua" as before

  Scenario: A planned stop cuts nothing off
    # An instance is replaced while a stream runs and other callers keep
    # their connections. The stream must end whole; a request that comes now
    # must be told that it was not run, and to come back elsewhere.
    Given a stream of 60 tokens runs through the entry
    And a caller keeps its connection to the entry
    When the entry drains
    Then the kept connection of the entry gets 503 "stopping" and is closed
    And the entry's stream ends whole with 60 tokens
    And the entry no longer listens

  Scenario: A planned stop waits for a caller that reads slowly
    # The last bytes of a long answer wait in the instance for a slow
    # caller. An instance that stops as soon as the answer is handed over
    # would cut them off.
    Given the entry has a long answer for a caller that reads slowly
    When the entry drains
    Then the entry waits until the slow caller has it whole
