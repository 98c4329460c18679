Feature: Every caller gets its own whole answer, or an explicit error

  Scenario Outline: A stream whose engine is lost by <loss> goes on elsewhere
    # A student reads a hint while its engine dies. The text must go on as if
    # nothing had happened: no word twice, none missing, the same id.
    Given a relay before 2 stand-in engines
    And the first engine of the relay <loss> after 7 tokens
    When a caller of the relay streams 30 tokens by <path>
    Then the caller of the relay got 30 tokens once each, one id and the end
    And the relay's usage adds up to 30 tokens
    And the relay charged the prompt once and 30 tokens

    Examples:
      | loss                 | path             |
      | cut_after_tokens     | chat/completions |
      | cut_after_tokens     | completions      |

  Scenario: A stream whose engine falls silent goes on elsewhere
    # The engine hangs, or the network to it swallows everything: no end of
    # the connection tells so, only that nothing comes any longer.
    Given a relay before a sliced engine that falls silent, and a good one
    When a caller of the relay streams with the usage at the end
    Then the caller of the relay got 5 tokens, the usage and the end
    And the relay counts a retry for "idle"

  Scenario: A stream that may not run twice ends in an explicit error
    # The engine is lost while a stream runs that must not run again. What
    # came so far must not pass for the whole answer.
    Given a relay before 2 stand-in engines
    And the first engine of the relay cut_after_tokens after 7 tokens
    When a caller of the relay streams 30 tokens of the kind "chat-once"
    Then the relay's stream holds 7 tokens and an error, and no end
    And the second engine of the relay got nothing

  Scenario: A stream that text can't continue ends in an explicit error
    Given a relay before 2 stand-in engines
    And the first engine of the relay cut_after_tokens after 7 tokens
    When a caller of the relay streams 30 tokens with guided decoding
    Then the relay's stream holds 7 tokens and an error, and no end

  Scenario: Only the end is missing, and the relay writes it
    # The engine dies between its last token and the end of the stream.
    # Nothing is left to generate, and a second run would cost for nothing.
    Given a relay before a sliced engine that stops short of the end
    When a caller of the relay streams with the usage at the end
    Then the caller of the relay got 5 tokens, the usage and the end
    And the sliced engine of the relay got one request

  Scenario: An engine's error inside a stream is no answer
    # An engine that fails in the middle writes an error event and then ends
    # the stream as if it were whole.
    Given a relay before a sliced engine that fails in words, and a good one
    When a caller of the relay streams with the usage at the end
    Then the caller of the relay got 5 tokens, the usage and the end

  Scenario Outline: A whole answer that is <fault> never passes for whole
    # The connection breaks inside a report's answer, or the server gives no
    # length. Half a report must not look like a report.
    Given a relay before a server whose answers are <fault>
    When a caller of the relay asks for a status
    Then the relay says that the outcome is unknown
    Given a good server beside it
    When a caller of the relay asks for a status
    Then the caller of the relay got the good server's answer

    Examples:
      | fault         |
      | cut           |
      | unmeasured    |
      | unended       |
      | headless      |
      | crossed       |
      | no HTTP       |

  Scenario Outline: A <fault> answer reaches nobody else
    # A server answers twice, or again later. The connection is kept for the
    # next caller, who would get the answer of the one before.
    Given a relay before a server whose answers come <fault>
    When two callers of the relay ask for a status one after the other
    Then each caller of the relay got its own answer

    Examples:
      | fault |
      | twice |
      | late  |

  Scenario: Whatever is sliced and cut wherever, nobody gets a wrong answer
    # Chunk boundaries fall inside events and inside characters, engines are
    # lost at any byte, several callers stream at once.
    When streams are sliced and cut in many ways before the relay
    Then each caller of the relay always got its own answer or an error
