Feature: The backlog of prompts at an engine is estimated from what was sent

  One engine reads 25,000 prompt tokens per second, one prompt after the other.
  The clock is advanced by the test.

  Scenario: Withdrawn prompts leave no backlog
    # Guards against refusals that lengthen the queue for which the next request
    # is refused. A prompt that was withdrawn counted again as unread as soon as
    # an earlier one had been read.
    Given an engine with a prompt of 5000 tokens
    When 20 prompts of 5000 tokens are sent after it and withdrawn
    And the first prompt is read
    Then the backlog is 0 tokens
    And the estimated rate is that of the engine

  Scenario: The backlog is what was sent and neither read nor withdrawn
    # Guards against the same for any order of sends, withdrawals and reads.
    When 300 series of prompts are sent, read in turn or withdrawn at random
    Then after each read the backlog was that of the prompts sent after it
