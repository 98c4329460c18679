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
