Feature: Answers without a length or chunks, which end with their connection

  Background:
    Given an instance on the platform with two servers of each service

  Scenario: A stream that ends inside an event is resumed at another engine
    # Guards against a stream that was broken off and looks whole to its caller.
    Given the engines send events without a length
    And the first engine's connection ends inside event 4
    When a caller requests a stream from "/chat/x"
    Then the caller receives events 1 to 9 once each, and the end of the stream
    And the second engine was asked to resume after event 3

  Scenario: A stream that ends inside an event and can't be resumed has no end
    # Guards against a stream that was broken off and looks whole to its caller.
    Given the engines send events without a length
    And the first engine's connection ends inside event 4
    When a caller requests a stream from "/once/x"
    Then the caller receives events 1 to 3 and no end of the stream

  Scenario: A stream that ends between two events is whole
    # Guards against a second engine that goes on behind the end of a stream.
    Given the engines send events without a length
    And the first engine's connection ends after event 4
    When a caller requests a stream from "/chat/x"
    Then the caller receives events 1 to 4 once each, and the end of the stream
    And one engine received a request

  Scenario: A stream that is reset between two events is resumed
    # Guards against taking a reset for the end of a stream.
    Given the engines send events without a length
    And the first engine's connection is reset after event 4
    When a caller requests a stream from "/chat/x"
    Then the caller receives events 1 to 9 once each, and the end of the stream
    And the second engine was asked to resume after event 4

  Scenario: The rest of a stream may end with its connection too
    # Guards against an engine that resumes a stream in the other form.
    Given the engines send events without a length
    And the first engine sends events in chunks, and is cut off after event 4
    When a caller requests a stream from "/chat/x"
    Then the caller receives events 1 to 9 once each, and the end of the stream
    And the second engine was asked to resume after event 4

  Scenario: A crash inside an event is counted as one
    # Guards against crashes that no instance counts, because the stream that they
    # broke off had no length.
    Given the engines send events without a length
    And the first engine crashes inside event 4
    And the instance's log is captured
    When a caller requests a stream from "/chat/x"
    Then the caller receives events 1 to 9 once each, and the end of the stream
    And each failed try is logged with server crashed: yes
