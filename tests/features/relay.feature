Feature: Every caller gets its own complete answer or an explicit error

  Scenario Outline: A stream whose engine fails with <loss> is resumed on another engine
    # An engine fails in mid-stream. Another engine must continue the text
    # without a missing or repeated token and under the same id.
    Given a relay before 2 stand-in engines
    And the first engine of the relay has the fault <loss> after 7 tokens
    When a caller of the relay streams 30 tokens from <path>
    Then the caller of the relay got 30 tokens once each, one id and "[DONE]"
    And the relay's usage adds up to 30 tokens
    And the relay charged the prompt once and 30 tokens

    Examples:
      | loss                 | path             |
      | cut_after_tokens     | chat/completions |
      | cut_after_tokens     | completions      |

  Scenario: A stream whose engine stops sending is resumed on another engine
    # The engine hangs, or the network to it drops all packets. The connection
    # stays open, so that only an idle timeout can detect the failure.
    Given a relay before an engine that stops sending, and a working one
    When a caller of the relay streams with final usage
    Then the caller of the relay got 5 tokens, the usage and "[DONE]"
    And the relay counts a retry for "idle"

  Scenario: A stream that must not run twice ends in an explicit error
    # The engine fails during a stream of a kind that must not be retried. The
    # caller must not take the partial answer for a complete one.
    Given a relay before 2 stand-in engines
    And the first engine of the relay has the fault cut_after_tokens after 7 tokens
    When a caller of the relay streams 30 tokens of the kind "chat-once"
    Then the relay's stream holds 7 tokens and an error, but no "[DONE]"
    And the second engine of the relay got no request

  Scenario: A stream that can not be resumed from its text ends in an error
    Given a relay before 2 stand-in engines
    And the first engine of the relay has the fault cut_after_tokens after 7 tokens
    When a caller of the relay streams 30 tokens with guided decoding
    Then the relay's stream holds 7 tokens and an error, but no "[DONE]"

  Scenario: The relay writes the end of a stream if only that is missing
    # The engine fails between its last token and the end of the stream. No
    # token is left to generate, so a second run would waste its cost.
    Given a relay before an engine that fails just before the end of its stream
    When a caller of the relay streams with final usage
    Then the caller of the relay got 5 tokens, the usage and "[DONE]"
    And the failing engine of the relay got one request

  Scenario: An engine's error event inside a stream leads to a retry
    # An engine that fails in mid-stream sends an error event and then ends the
    # stream as if it were complete.
    Given a relay before an engine that sends an error event, and a working one
    When a caller of the relay streams with final usage
    Then the caller of the relay got 5 tokens, the usage and "[DONE]"

  Scenario Outline: An answer that is <fault> is not relayed as a complete one
    # The connection breaks inside an answer, or the answer has no length. A
    # partial answer must not look like a complete one to the caller.
    Given a relay before a server whose answers are <fault>
    When a caller of the relay requests a status
    Then the relay reports an unknown outcome
    Given the relay also has a working server
    When a caller of the relay requests a status
    Then the caller of the relay got the working server's answer

    Examples:
      | fault         |
      | truncated     |
      | unframed      |
      | unterminated  |
      | cut in header |
      | mismatched    |
      | not HTTP      |

  Scenario Outline: An answer that comes <fault> does not reach another caller
    # A server answers twice, at once or later. The connection is reused for
    # the next caller, which could get the previous caller's answer.
    Given a relay before a server whose answers come <fault>
    When two callers of the relay request a status one after the other
    Then each caller of the relay got its own answer

    Examples:
      | fault |
      | twice |
      | late  |

  Scenario: No caller gets a wrong answer, wherever streams are split and cut
    # Chunk boundaries fall inside events and inside characters, engines fail
    # at any byte, and several callers stream at the same time.
    When streams to the relay are split and cut at many positions
    Then each caller of the relay always got its own answer or an error
