Feature: What a server manages is learnt from its answers

  The servers of these scenarios have 8 slots. The clock is advanced by the
  test. The usual time of a request is 0.1 s.

  Scenario: A limit follows a server that slows down and recovers
    # Guards against a slow server that is filled like the others, and against a
    # recovered one that gets fewer requests than it manages for good.
    Given a server that slows down by 0.5 for each request beyond 2
    When it answers requests for 2 s
    Then its limit is at most 3
    When it does not slow down any more
    And it answers requests for 8 s
    Then its limit is 8

  Scenario: A server that is slow for any number of requests keeps its limit
    # Guards against a limit that is lowered for slowness which has nothing to do
    # with the number of requests.
    Given a server that takes 3 times as long as others
    When it answers requests for 4 s
    Then its limit is 8
    And an answer is expected to take 0.24 to 0.36 s

  Scenario: A server with long requests is not taken for slow
    # Guards against a server that is avoided since its requests are long.
    Given a server that takes as long as others
    When it answers requests for 2 s, of which half take 10 times the work
    Then its limit is 8
    And an answer is expected to take 0.09 to 0.11 s

  Scenario: One outlier changes an estimate only a little
    # Guards against a server that is avoided for one answer that was delayed.
    Given a server that takes as long as others
    When it answers requests for 2 s
    And one answer takes 100 times as long
    Then its limit is 8
    And an answer is expected to take 0.09 to 0.13 s

  Scenario: A reported slowdown that answers confirm is used at once
    # Guards against requests for a machine that has just become slow, before its
    # answers show it.
    Given a server that reports what its machine does
    When it answers requests for 6 s, in 0.15 of the time 2.5 times as slowly
    And it reports a slowdown of 2.5
    Then an answer is expected to take 0.18 to 0.3 s
    And after 2 s an answer is expected to take 0.09 to 0.16 s

  Scenario: A server that reports false values is judged by its answers
    # Guards against a server that takes no part, or too large a part, in the work
    # because of what it reports.
    Given a server that reports slowdowns at random
    When it answers requests for 6 s
    And it reports a slowdown of 4
    Then an answer is expected to take 0.08 to 0.13 s

  Scenario: Streams are limited where their events come too late
    # Guards against an engine that is filled until all its streams pause.
    Given a server whose streams pause for 0.08 s for each stream in progress
    When it completes streams of a route that allows pauses of 0.4 s
    Then its limit is 3 to 6

  Scenario: A caller that reads slowly does not lengthen an engine's pauses
    # Guards against engines that get fewer streams for their callers' sake.
    When an engine pauses for 0.05 s, and the caller takes 0.2 s for each event
    Then the longest pause of the stream is 0.04 to 0.19 s

  Scenario Outline: The reading rate is known after a few answers
    # Guards against a keeper that refuses requests for an expected wait, since it
    # has not learnt yet how fast its engine reads. Prompts of fewer than 4,000
    # tokens did not correct the rate, and larger ones only slowly.
    Given an engine that reads <rate> tokens a second
    When it answers 6 prompts of about <tokens> tokens
    Then the estimated reading rate is within 0.25 of that

    Examples:
      | rate  | tokens |
      | 93600 | 2900   |
      | 69800 | 2900   |
      | 43600 | 9190   |
      | 12000 | 2900   |

  Scenario Outline: The load that a server reports is decoded
    # Guards against a header of another writer that ends the request.
    Then the load header "<header>" gives <load>

    Examples:
      | header          | load                 |
      | 3,1,8           | 3, 1, 8 and no slowdown |
      | 3, 1, 8, 160    | 3, 1, 8 and 1.6      |
      | 3,1,8,0         | 3, 1, 8 and no slowdown |
      | 3,1             | nothing              |
      | a,b,c           | nothing              |
      | 3,1,nan         | nothing              |
      | 3,-1,8          | nothing              |
      | 1e9,1,8         | nothing              |
      | 9999999999,1,8  | nothing              |

  Scenario Outline: Servers of unlike knees answer in time, also after a change
    # Guards against limits that help a slow server at the expense of others, or
    # that follow a change of servers too late.
    When 8 servers of the pattern "<pattern>" are simulated
    Then at least <before> of the answers are in time before second 20, and <after> after it
    And at most <lost> fewer are in time than by the fewest requests in progress

    Examples:
      | pattern    | before | after | lost  |
      | knees      | 0.97   | 0.97  | -0.05 |
      | unlike     | 0.97   | 0.95  | -0.05 |
      | equal_full | 0.99   | 0.98  | 0.002 |
