Feature: An answer whose connection breaks during the upload is not whole

  # A server may answer before it has read the whole request. A reset that
  # arrives while the request is still being sent is reported to the sender, and
  # after that the end of the connection looks like an orderly one.

  Background:
    Given an instance whose server answers uploads of 900 KB before it has read them

  Scenario Outline: A part of an answer without a length, to <request> in <version>, ended by <end>, is no answer
    # Guards against a part of a body that is passed on as a whole answer.
    Given the server sends a part of its answer without a length, and its connection is ended by <end>
    When a caller of <version> uploads <request>
    Then the caller gets no part as a whole answer

    Examples:
      | request                        | version  | end                           |
      | a request that may run once    | HTTP/1.1 | a reset                       |
      | a request that may be repeated | HTTP/1.1 | a reset                       |
      | a request for a stream         | HTTP/1.1 | a reset                       |
      | a request that may run once    | HTTP/1.0 | a reset                       |
      | a request for a stream         | HTTP/1.0 | a reset                       |
      | a request that may run once    | HTTP/1.1 | a late reset                  |
      | a request that may run once    | HTTP/1.1 | a close with unread bytes     |
      | a request for a stream         | HTTP/1.1 | a close with unread bytes     |
      | a request that may run once    | HTTP/1.1 | an end, and a reset behind it |

  Scenario: The events of a stream that broke during the upload are resumed
    # Guards against a stream that ends early and looks whole.
    Given the server sends 3 events without a length, and resets the connection, and then whole streams
    When a caller of HTTP/1.1 uploads a request for a stream that may be resumed
    Then the caller gets the events 1 to 9 once each, and the end

  Scenario: A whole answer with a length stays a success if its connection breaks afterwards
    # Guards against a ready answer that is thrown away.
    Given the server sends a whole answer with a length, and its connection is ended by a reset
    When a caller of HTTP/1.1 uploads a request that may run once
    Then the caller gets the whole answer

  Scenario: An answer without a length is whole if the server read the upload later
    # Guards against a whole answer that is thrown away, because the server read
    # the rest of the request after it had sent the answer.
    Given the server sends an answer without a length, ends its side, and reads the rest
    When a caller of HTTP/1.1 uploads a request that may run once
    Then the caller gets the whole answer

  Scenario: The store's answer whose connection breaks during the upload is none
    # Guards against a part of the store's answer that counts as whole.
    When the store sends a part of its answer without a length to a long call, and resets the connection
    Then the call has no answer
