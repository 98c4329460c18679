Feature: Callers that leave free what worked for them

  Scenario Outline: A caller that leaves while <stage> frees the engine
    # Students close the page. An engine that goes on for nobody has a slot
    # less for those who wait.
    Given a relay before an engine that is <stage>
    When a caller of the relay streams and leaves while <stage>
    Then the work of the relay's caller is cancelled
    And the relay counts a caller that left

    Examples:
      | stage     |
      | queued    |
      | silent    |
      | streaming |

  Scenario: A caller that reads nothing does not hold a slot
    Given a relay whose writes may wait 0.3 s, before an endless stream
    When a caller of the relay streams and reads nothing
    Then the work of the relay's caller is cancelled

  Scenario: A booking whose caller leaves runs to its end
    # A parent closes the page while the payment runs. It may have run, so
    # it is let run, and its claim says so to whoever asks again.
    Given a relay before a booking server that waits
    When a caller of the relay books with a key and leaves
    Then the relay settles the claim as DONE once the server answers

  Scenario: A slot is free with the last token, not with the connection's end
    # The engine is done, but the end of its answer is slow to come. Held
    # until then, the slot would idle while others wait.
    Given a relay before an engine that withholds the end of its connection
    When a caller of the relay reads its stream up to "[DONE]"
    Then the relay has given the slot back as DONE
