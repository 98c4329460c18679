Feature: Retries are safe, limited by a budget, and end before the deadline

  Scenario: A request is retried if the connection is refused
    # The process of an engine has stopped. No byte was sent, so even a booking
    # can be sent to another server, and the caller sees no error.
    Given an entry with retries in front of a stopped server and a running one
    When a caller of the entry sends a booking
    Then the booking is answered, and the server executed it once
    And the retry counter "connect" is 1

  Scenario: Without another server, an unsent request is reported as not run
    Given an entry with retries in front of a stopped server
    When a caller of the entry sends a booking
    Then the entry with retries answers 503 as not run

  Scenario: A booking is never sent on a reused connection
    # The server may close a kept-alive connection at the moment when a booking
    # is sent on it. It would not be known whether the booking ran: it would
    # have to be reported as unknown, or sent twice.
    Given an entry with retries in front of a server that closes each connection on its second request
    When a caller of the entry sends a status query, and then a booking
    Then the booking is answered, and the server received it once
    And the booking was sent on a separate connection

  Scenario: An idempotent request on a stale connection is resent immediately
    Given an entry with retries in front of a server that closes each connection on its second request
    When a caller of the entry sends 3 status queries
    Then each status query to the entry is answered
    And no retry was charged to the budget

  Scenario: A booking whose answer is lost is reported as unknown and not retried
    Given an entry with retries in front of a server that reads requests and closes, and a running one
    When a caller of the entry sends a booking
    Then the entry with retries answers 502 as unknown
    And the running server behind the entry received no request

  Scenario: A request is not reported as not run if only its retry was refused
    # The first server stops after it received the request, and the queue
    # refuses the retry. 'Not run' is true for the retry, but not the request.
    Given an entry with retries in front of a server that reads requests and closes
    When a caller of the entry sends a status query
    Then the entry with retries answers 502 as unknown

  Scenario Outline: After the deadline the request is reported as <outcome>
    # A plant's terminal waits for at most ten seconds. It must get its answer
    # at the deadline, and not at the later timeout of the server.
    Given an entry with retries and a deadline of 0.3 s, with <condition>
    When a caller of the entry sends a status query
    Then the entry with retries answers 504 as <outcome>

    Examples:
      | condition       | outcome |
      | no free slot    | not run |
      | a silent server | unknown |

  Scenario: The retries of an account are limited by its number of requests
    # All servers fail. Without a budget, every request would be sent again
    # and again, and the servers would never recover.
    Given a retry budget with a ratio of 0.2
    When an account retries 100 requests up to 3 times each
    Then the account was allowed at most 10 retries plus a fifth of its requests
    And the retry budget of another account is still full
    And the denied retries are counted as "budget"

  Scenario: Retry waits grow, are randomized, and end before the deadline
    Given a retry budget with a ratio of 1
    When retries are requested with increasing numbers of tries
    Then the retry waits range up to twice their mean, which grows to 2 s
    And no retry is allowed whose wait would end after the deadline
