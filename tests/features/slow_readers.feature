Feature: Callers and engines that read slowly

  Background:
    Given an instance on the platform with two servers of each service
    And the instance's log is captured
    And the failures that are charged to servers are recorded

  Scenario Outline: An answer that is cut off while its caller reads nothing is aborted
    # Guards against a second engine that generates for a caller that doesn't
    # read, and against charging the first one with a failure.
    Given the first engine cuts off answers that stay unread, by a <end>
    When a caller of "/chat/x" reads nothing until then, and slowly afterwards
    Then the caller receives no end of the stream
    And one engine received a request
    And the cut is logged as the caller's and charged to no engine

    Examples:
      | end   |
      | close |
      | reset |

  Scenario: A caller that catches up gets the rest from another engine
    # Guards against losing the answer of a caller that only paused.
    Given the first engine cuts off answers that stay unread, by a close
    When a caller of "/chat/x" reads nothing until then, and all afterwards
    Then the caller receives each event once, and the end of the stream
    And the cut is logged as the caller's and charged to no engine

  Scenario: A cut long after a pause of the caller is the engine's failure
    # Guards against excusing engines for callers that paused once.
    Given the first engine is cut off 1 s after its caller caught up
    When a caller of "/chat/x" pauses for 0.6 s and reads all afterwards
    Then the caller receives each event once, and the end of the stream
    And the failure is charged to the first engine

  Scenario: A caller that reads nothing until its deadline harms no engine
    # Guards against ejecting engines for callers that don't read.
    Given the first engine sends more than the connections hold
    When a caller of "/chat/x" reads nothing for 1 s after its deadline
    Then no failure is charged to an engine

  Scenario: An answer that was ready before the deadline is delivered after it
    # Guards against cutting off an answer that the instance already has.
    Given the first engine sends a whole answer that the connections hold
    When a caller of "/chat/x" reads all 0.5 s after its deadline
    Then the caller receives each event once, and the end of the stream

  Scenario: A whole answer that is read slowly but steadily arrives whole
    # Guards against one time limit for a write of any length.
    Given a write to a caller may go without progress for 0.1 s
    And all plain servers answer with 12 megabytes
    When a caller of "/read/x" takes 2 s to read the answer
    Then the caller receives the whole answer
