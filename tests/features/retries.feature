Feature: Retries are right, paid for, and never late

  Scenario: A server that takes no connection did not run the request
    # An engine's process is gone. Nothing was sent, so even a booking may go
    # to another server, and its caller notices nothing.
    Given a retrying entry before a dead server and a live one
    When a caller of the retrying entry books
    Then the retried booking is answered and was executed once
    And the retry counter "connect" is 1

  Scenario: Without another server, 'not run' is said because it is true
    Given a retrying entry before a dead server
    When a caller of the retrying entry books
    Then the retrying entry answers 503 as not run

  Scenario: A booking never leaves on a connection that was used before
    # The server closes a kept connection at the moment the booking goes out
    # on it. Nobody could tell whether it ran: the booking would have to be
    # reported as unknown, or sent twice.
    Given a retrying entry before a server that cuts each connection's second request
    When a caller of the retrying entry looks, and then books
    Then the retried booking is answered and was received once
    And the booking came on a connection of its own

  Scenario: A repeatable request survives a stale connection at once
    Given a retrying entry before a server that cuts each connection's second request
    When a caller of the retrying entry looks 3 times
    Then each look of the retrying entry is answered
    And no retry was taken from the budget

  Scenario: A lost answer of a booking is told as unknown, and never repeated
    Given a retrying entry before a server that takes requests and cuts, and a live one
    When a caller of the retrying entry books
    Then the retrying entry answers 502 as unknown
    And the live server of the retrying entry got nothing

  Scenario: A refusal after a first try was sent is not called 'not run'
    # The first server dies with the request, then the queue refuses the
    # retry. 'Not run' would be the queue's truth, but not the request's.
    Given a retrying entry before a server that takes requests and cuts
    When a caller of the retrying entry looks
    Then the retrying entry answers 502 as unknown

  Scenario Outline: Past the deadline the answer is <truth>
    # A plant's terminal waits ten seconds at most. It gets its answer at the
    # deadline, not when the server's own timeout comes.
    Given a retrying entry whose requests have 0.3 s, with <place>
    When a caller of the retrying entry looks
    Then the retrying entry answers 504 as <truth>

    Examples:
      | place           | truth   |
      | no slot         | not run |
      | a silent server | unknown |

  Scenario: An account's retries are bounded by its requests
    # All servers fail. Without a budget every request would be sent again
    # and again, and the servers never recover.
    Given a retry budget with a ratio of 0.2
    When an account retries 100 requests up to 3 times each
    Then it was allowed at most 10 retries and a fifth of its requests
    And another account's retries were untouched
    And the denied retries are counted as "budget"

  Scenario: A retry's wait grows, is spread, and ends before the deadline
    Given a retry budget with a ratio of 1
    When retries are asked for with growing numbers of tries
    Then the retry waits are spread over twice their mean up to 2 s
    And no retry is allowed that would wait past the deadline
