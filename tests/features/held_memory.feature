Feature: Memory held for callers and servers is bounded

  Scenario: Answers that callers don't read are held up to the bound
    # Guards against an instance that exceeds its memory by answers that wait
    # for their callers, and against dropping what has to wait.
    Given an instance with 70 megabytes of memory and a server of each service
    And the plain server answers with 1 megabyte
    When 6 callers request "/read/x" and read nothing for 1 s
    Then at most 3 megabytes of answers are held
    When the callers read on
    Then each caller receives the whole answer
    And no answer is held

  Scenario: An upload beyond the bound is refused as not run
    # Guards against an instance that exceeds its memory by uploads to a server
    # that reads slowly.
    Given an instance with 65 megabytes of memory and a server of each service
    And the plain server answers once it is released
    When 6 callers send 60000 bytes each to "/write/x"
    Then at least 1 and at most 5 requests are sent to the server
    And the others are answered 503 with the code "no_buffer"
    When the server is released
    Then each request that was sent is answered 200

  Scenario: An engine is not read for a caller that reads nothing
    # Guards against holding a whole stream for a slow caller.
    Given an instance with 128 megabytes of memory and a server of each service
    And the engine sends events without end
    When 1 callers request "/chat/x" and read nothing for 0.5 s
    Then the engine could send at most 1 megabyte
    And another caller of "/read/x" is answered within 0.3 s

  Scenario: The caller that is blocked for longest makes room for others
    # Guards against many slow callers that exceed the memory together.
    Given an instance with 65 megabytes of memory and a server of each service
    And the engine sends events without end
    When 9 callers request "/chat/x" and read nothing for 0.5 s
    Then 1 caller is closed as blocked for longest
    And no failure was charged to the engine

  Scenario: Prompts of many parts fit into the smallest instance
    # Guards against an instance that exceeds its memory by keys and caches that
    # are limited by number, while callers decide how long each key is.
    Given an instance with 128 megabytes of memory and a server of each service
    And the instance has 5 more engines
    And the allocations of the instance are measured
    When 8 callers request "/chat/x" with 25 prompts of 1200 parts each
    Then each of these requests is answered 200
    And at most 64 megabytes were allocated at a time

  Scenario: What is known of the caches of many engines is limited as a whole
    # Guards against a limit for each engine that many engines exceed together.
    Given an instance with 200 servers
    And the allocations of the instance are measured
    When a prompt of 4000 parts is sent to each server
    Then at most 16 megabytes were allocated at a time
    And part of the last prompt is known to be cached

  Scenario Outline: A kept connection does not hold the head of its last request
    # Guards against idle connections that hold twice to twenty times the memory
    # by which their number is limited.
    Given an instance with 128 megabytes of memory and a server of each service
    When a caller sends a head of <count> fields of <length> bytes and keeps it open
    And the allocations of the instance are measured
    And 40 callers send heads of <count> fields of <length> bytes and keep them open
    Then at most 32 kilobytes are allocated for each connection

    Examples:
      | count | length |
      | 450   | 16     |
      | 1900  | 1      |
      | 1     | 15000  |

  Scenario Outline: Heads beyond the bound are refused as not run
    # Guards against an instance that exceeds its memory by heads of requests that
    # wait or run.
    Given an instance with 68 megabytes of memory and a server of each service
    And the plain server answers once it is released
    When 20 callers send heads of <count> fields of <length> bytes to "/write/x"
    Then at least 2 and at most 19 requests are sent to the server
    And the others are answered 503 with the code "no_buffer"
    When the server is released
    Then each request that was sent is answered 200

    Examples:
      | count | length |
      | 450   | 16     |
      | 1900  | 1      |
      | 1     | 15000  |

  Scenario: A long target is counted while its request is in progress
    # Guards against request lines that an instance holds without counting them.
    Given an instance with 128 megabytes of memory and a server of each service
    And the plain server answers once it is released
    When a caller sends a request with a target of 7000 bytes to "/write/x"
    Then at least 84 kilobytes of heads are held
    When the server is released
    Then each request that was sent is answered 200

  Scenario: JSON takes no more memory than is reserved for it
    # Guards against a body of many small values, which takes thirty times its
    # length once it is parsed.
    When 300 JSON bodies are drawn from seed 1
    Then parsing each of them takes no more memory than is reserved for it
