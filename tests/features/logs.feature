Feature: Logs that a program can read and that hold no secret

  Scenario: A log line carries its request's id and its instance
    Given the logs of the instance "poa-a-1"
    When the log event "queue full" is written for the request "r-17"
    Then the log line's "instance" is "poa-a-1"
    And the log line's "request_id" is "r-17"
    And the log line's "event" is "queue full"

  Scenario Outline: A secret that an error quotes is masked in the log
    # A caller sends a broken header or body. The error that is logged quotes
    # what it stumbled over, and whoever reads the logs would hold the
    # caller's key or an operator's password.
    Given the logs of the instance "poa-a-1"
    When the log gets an error that quotes <quoted>
    Then no log line holds "hunter2"
    And the log line's "trace" holds "***"

    Examples:
      | quoted                           |
      | Authorization: Bearer hunter2    |
      | Authorization: Basic hunter2     |
      | {"password": "hunter2", "a": 1}  |
      | user=ana&password=hunter2&x=1    |

  Scenario: A reader that stalls holds nothing up
    # Whoever collects the logs stops reading, and the pipe fills. A write
    # that waits would stop the whole process, with every caller's answer.
    Given a log into a pipe that nobody reads
    When 5000 log events are written
    Then the writer never waited, and what did not fit was counted
    When the reader reads again
    Then it gets whole lines only, and is told how many were dropped

  Scenario: A flood of lines is cut to a rate, but for errors
    Given a log into a pipe that is read
    When 2000 log events and an error are written within a second
    Then 900 lines and the error came through, and the rest was counted
