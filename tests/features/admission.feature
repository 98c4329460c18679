Feature: Who is refused, and who waits

  The real placement of one instance before two engines, with a clock that the
  test moves. An engine reads 25,000 tokens a second until it is known better.

  Scenario Outline: What was granted once goes on, whatever the share is by now
    # An engine falls silent in the middle of a stream of thirteen events. Its
    # second try was refused, as the account was over its share by then: the
    # caller lost the thirteen, and got no promise.
    Given two engines with <queue> tokens to read each
    And an account at 1.6 times its share
    When a request that had a place before asks for another, with 3 s left
    Then it is <outcome>

    Examples:
      | queue | outcome         |
      | 20000 | placed          |
      | 60000 | placed          |
      | 90000 | refused at once |

  Scenario: A new request of that account is refused
    Given two engines with 20000 tokens to read each
    And an account at 1.6 times its share
    When a request that is new asks for a place, with 3 s left
    Then it is refused at once

  Scenario: A service whose servers are all in backoff gets requests when one ends
    # Guards against sending during a backoff, and against a wrong Retry-After.
    Given two engines with 0 tokens to read each
    And their backoffs are 9 s and 3 s
    When a request that is new asks for a place, with 30 s left
    Then it is refused at once
    And its Retry-After is 3 to 4 s
    When 2.9 s pass
    And a request that is new asks for a place, with 30 s left
    Then it is refused at once
    When 0.2 s pass
    And a request that is new asks for a place, with 30 s left
    Then it is placed at the second

  Scenario: A later, shorter Retry-After does not shorten a backoff
    # Guards against late answers to requests that were sent before the backoff.
    Given two engines with 0 tokens to read each
    And their backoffs are 9 s and 9 s
    And their backoffs are 1 s and 0 s
    When 8.9 s pass
    And a request that is new asks for a place, with 30 s left
    Then it is refused at once

  Scenario: A server that is excluded for one request does not lengthen Retry-After
    # Guards against a backoff as Retry-After while a server without one is listed.
    Given two engines with 0 tokens to read each
    And their backoffs are 9 s and 0 s
    When a request that failed at the second asks for another place, with 30 s left
    Then it is refused at once
    And its Retry-After is 0.1 to 0.2 s

  Scenario Outline: Who is refused does not depend on the size of the request
    # Guards against an admission that counts a request's own reading as a wait.
    Given two engines with 0 tokens to read each
    And an account that asks for <asks> times its share and had <use> of it
    When 3000 requests of unlike sizes ask for a place, before unlike queues
    Then of the largest tenth and of the fifth below it 0.85 times as many as of all are placed at least
    And some of all are refused

    Examples:
      | asks | use |
      | 0.5  | 0.1 |
      | 4    | 0.9 |
      | 4    | 1.1 |
      | 4    | 1.6 |

  Scenario: A route's first prompt is not taken for its usual one
    # Guards against small requests refused after a start, as a large one came first.
    Given two engines with 2000 tokens to read each
    And an account at 1.1 times its share
    When a request of 40000 tokens asks for a place, the first of its route
    And a request of 100 tokens of that route asks for a place
    Then it is placed

  Scenario Outline: A queue before few slots is longer than the same before many
    # Engines that run a dozen requests at once read their prompts at once, too,
    # so that no token waits to be read, and every slot is taken. Reckoned as if
    # a slot came free as often as among 64, a request that can only be late is
    # accepted, and with it all behind it.
    Given two engines with 0 tokens to read each
    And they have <slots> slots, <running> requests each, and streams of 1.2 s
    When a request that is new asks for a place, with 3 s left
    Then it is <outcome>

    Examples:
      | slots | running | outcome         |
      | 12    | 11      | placed          |
      | 12    | 18      | refused at once |
      | 64    | 70      | placed          |

  Scenario Outline: A flood does not take each slot that comes free
    # All prompts are read and all slots taken: nothing is ahead in the queue of
    # tokens. An account far beyond its share was served as on an idle engine,
    # got half of all tokens, and others that had nothing were refused.
    Given two engines with 0 tokens to read each
    And they have 12 slots, <running> requests each, and streams of 1.2 s
    And an account at 4 times its share
    When a request that is new asks for a place, with 3 s left
    Then it is <outcome>

    Examples:
      | running | outcome         |
      | 11      | placed          |
      | 12      | refused at once |

  Scenario Outline: Who asks for more than its share leaves room in the queue
    # An account asks for twenty times its share, and has had nearly all of it.
    # Each of its many tries fills the queue up to what anyone may wait. Another
    # has had a twentieth of its share, asks for less than that is, and is
    # refused four times of five, as the queue is full whenever it comes.
    Given two engines with <queue> tokens to read each
    And an account that asks for <asks> times its share and had <use> of it
    When a request that is new asks for a place, with 3 s left
    Then it is <outcome>

    Examples:
      | queue | asks | use  | outcome         |
      | 9000  | 0.5  | 0.05 | placed          |
      | 9000  | 0.9  | 0.85 | placed          |
      | 9000  | 20   | 0.05 | placed          |
      | 9000  | 20   | 0.9  | refused at once |
      | 1000  | 20   | 0.9  | placed          |

  Scenario: Where many run, first events come later, and are expected to
    # Dozens of streams fill an engine's memory. It has read all prompts, so that
    # a request sent there was expected at once, came half a second late, and
    # each instance sent the next one there as well.
    Given two engines with 0 tokens to read each
    When 200 first events come 0.3 s later than reading explains, where 30 run
    And 30 run at the one engine and 5 at the other
    Then a first event is expected 0.2 s later at the one, at least
    And a request that is new is placed at the other
