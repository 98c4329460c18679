Feature: Logs are machine-readable and contain no secrets

  Scenario: A log line contains the id of its request and its instance
    Given the logs of the instance "poa-a-1"
    When the log event "queue full" is written for the request "r-17"
    Then the log line's "instance" is "poa-a-1"
    And the log line's "request_id" is "r-17"
    And the log line's "event" is "queue full"

  Scenario Outline: A secret quoted by an error is masked in the log
    # A caller sends an invalid header or body, which the logged error quotes.
    # Without masking, everyone with access to the logs could read the
    # caller's key or an operator's password.
    Given the logs of the instance "poa-a-1"
    When an error is logged that quotes <quoted>
    Then no log line contains "hunter2"
    And the log line's "trace" contains "***"

    Examples:
      | quoted                           |
      | Authorization: Bearer hunter2    |
      | Authorization: Basic hunter2     |
      | {"password": "hunter2", "a": 1}  |
      | user=ana&password=hunter2&x=1    |

  Scenario: A stalled log reader does not block the process
    # The log collector stops reading and the pipe fills up. A blocking write
    # would stop the whole process, and with it the answers to all callers.
    Given a log to a pipe whose reader stalls
    When 5000 log events are written
    Then the writer did not block, and the dropped lines were counted
    When the log reader resumes
    Then the log reader gets only complete lines and the count of dropped lines

  Scenario: Log lines other than errors are limited to a rate
    Given a log to a pipe that is read
    When 2000 log events and an error are written within a second
    Then 900 lines and the error were written, and the dropped lines were counted
