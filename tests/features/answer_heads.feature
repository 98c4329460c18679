Feature: An engine that stops within the head of its answer has not answered

  Scenario Outline: Callers get no part of <answer>, cut within its head
    # Guards against an empty or short body that is framed as whole: the engine
    # stopped at any byte of its answer's head, and closed.
    Given an instance whose servers stop within the head of <answer>
    When requests for "<path>" are cut at each byte, by each end, on new and kept connections
    Then each of them gets <outcome>

    Examples:
      | answer                  | path     | outcome                       |
      | an answer with a length | /write/x | a failure that promises nothing |
      | an answer in chunks     | /write/x | a failure that promises nothing |
      | an unframed answer      | /write/x | a failure that promises nothing |
      | an answer without body  | /write/x | a failure that promises nothing |
      | a failure               | /write/x | a failure that promises nothing |
      | an answer after hints   | /write/x | a failure that promises nothing |
      | a stream in chunks      | /once/x  | a failure that promises nothing |
      | an unframed stream      | /once/x  | a failure that promises nothing |
      | an answer with a length | /read/x  | the answer of the second server |
      | an unframed answer      | /read/x  | the answer of the second server |
      | a stream in chunks      | /chat/x  | all events once                 |
      | an unframed stream      | /chat/x  | all events once                 |

  Scenario Outline: HEAD gets no part of <answer>, cut within its head
    # Guards against the same where an answer has no body in any case.
    Given an instance whose servers stop within the head of <answer>
    When HEAD requests for "/write/x" are cut at each byte, by each end, on new and kept connections
    Then each of them gets a failure that promises nothing

    Examples:
      | answer                  |
      | an answer with a length |
      | an answer after hints   |

  Scenario Outline: A stream that is taken up goes on behind <answer>, cut within its head
    # Guards against a stream that ends as whole where its next engine stopped.
    Given an instance whose servers stop within the head of <answer>
    When streams that clients take up after event 3 are cut at each byte, by each end
    Then each of them gets the events from 4 on once

    Examples:
      | answer             |
      | a stream in chunks |
      | an unframed stream |

  Scenario Outline: A stream that broke off has no end behind <answer>, cut within its head
    # Guards against a stream that ends as whole where the engine that goes on with
    # it within one answer stopped.
    Given an instance whose servers stop within the head of <answer>
    When streams break off after event 3 and their next engine is cut at each byte, by each end
    Then each of them gets the events up to 3 and no end

    Examples:
      | answer             |
      | a stream in chunks |
      | an unframed stream |
