Feature: Subcommands report their outcome by output and exit code

  Background:
    Given a command line with a stand-in key-value service

  Scenario: A document is accepted once and a submission on a stale base conflicts
    # Guards against lost updates: two operators edit version 0 at the same time,
    # and without a comparison of the base the second undoes the first's change.
    When the command line submits the small document on base 0
    Then the command exits with 0 and prints "accepted as version 1"
    When the command line submits the small document with a new share on base 0
    Then the command exits with 4 and prints "share 1"
    When the command line submits the small document with a new share on base 1
    Then the command exits with 0 and prints "accepted as version 2"

  Scenario: Every mistake in a document is reported and nothing is submitted
    When the command line submits the small document with two mistakes on base 0
    Then the command exits with 3 and prints "2 mistake(s)"
    And the command line's key-value service holds no key

  Scenario: A submission to an unreachable service reports that nothing was applied
    Given the command line's key-value service is in the mode "down"
    When the command line submits the small document on base 0
    Then the command exits with 6 and prints "nothing was applied"

  Scenario: A submission is reported as accepted although all responses are lost
    # Each write takes effect, but its response is lost. The command must not
    # report that nothing was applied: reading back shows what was written.
    Given the command line's key-value service is in the mode "lose_answers"
    When the command line submits the small document on base 0
    Then the command exits with 0 and prints "accepted as version 1"
    And the command line's key-value service holds a manifest

  Scenario: Settings files and documents are distinguished by their content
    When the command line checks the file "examples/consorcio/document.toml"
    Then the command exits with 0 and prints "16 client accounts"
    When the command line checks its settings file
    Then the command exits with 0 and prints "the settings are valid"

  Scenario: A router does not start with invalid settings
    When the command line starts a router with a document as settings file
    Then the command exits with 3 and prints "backend_servers"

  Scenario: SIGHUP while a router loads does not terminate it
    # The platform changes the settings file of an instance that it has just
    # started, and sends SIGHUP. The process has not installed its handler yet,
    # and the signal's default action would terminate it silently.
    When a router receives SIGHUP while it loads
    Then the command exits with 3 and prints "(file)"

  Scenario: A second SIGTERM does not interrupt a graceful stop
    # The router is finishing its requests in progress when SIGTERM arrives again.
    # Guards against termination by the second signal, which cuts all of them off.
    When a router receives SIGTERM again while it stops
    Then the command exits with 0 and prints "stopped gracefully"

  Scenario: A router that is asked to stop while it exits ends in order
    # Guards against a failure exit code after a stop that lost no request.
    When a router receives SIGTERM again after it has stopped
    Then the command exits with 0 and prints "exited normally"

  Scenario: Help and invalid arguments print an explanation
    When the command line is run with "submit --help"
    Then the command exits with 0 and prints "made from"
    When the command line is run with "launch"
    Then the command exits with 2 and prints "launch"

  Scenario: The log lines of one request are collected from several logs
    # A user reports a slow response. The request was tried at two servers, and
    # an instance had ejected one of them shortly before.
    Given the logs of two instances about the request "a-17"
    When the command line explains the request "a-17"
    Then the command exits with 0 and prints "try_failed"
    And the lines are in order of time and include the state changes before the request
    And the output has no line of another request

  Scenario: All attempts at a request are found by its fingerprint
    # Guards against omitted retries, which have different request ids.
    Given the logs of two instances about attempts with fingerprint "f00d"
    When the command line explains the request "f00d"
    Then the command exits with 0 and prints "request_id=b-1"
    And the command exits with 0 and prints "request_id=b-2"
    And the output has no line of another request

  Scenario: A request that no log contains is reported as not found
    Given the logs of two instances about the request "a-17"
    When the command line explains the request "a-99"
    Then the command exits with 3 and prints "no line of the request"

  Scenario: The summary shows the client accounts that are served worst
    # A large account is refused most, because it is over its share. A small
    # account within its share is refused as well, which a count over all
    # requests does not show.
    Given the logs of two instances about a large account and a small one
    When the command line summarizes the logs
    Then the command exits with 0 and prints "over_share"
    And the summary shows "small" at "0%" and "large" at "50%"

  Scenario: The summary compares how often large and small requests are served
    # Guards against counting each attempt as a request, which distorts the result.
    Given the logs of an instance that refuses large requests, twice each
    When the command line summarizes the logs
    Then the summary shows "all" with 100 requests, "90%" served
    And the summary shows "largest tenth" with 10 requests, "0%" served
    And the summary shows "next fifth" with 20 requests, "100%" served
    And the command exits with 0 and prints "medians of refused: 300 ms to read, 40 ms to wait, 240 ms allowed"

  Scenario: The summary shows an account that got far less than another
    # Guards against a day on which no account seems to be treated unfairly,
    # because the served fractions of all accounts are low.
    Given the logs of two instances about an account that floods and another
    When the command line summarizes the logs
    Then the command exits with 0 and prints "requested 12000, got 600 tokens, due 3000"
    And the command exits with 0 and prints "max-min share 4500; flood got 8400"
    And the command exits with 0 and prints "median share used 0.10 of 9000 tokens"

  Scenario: Logs without the end of a request are reported
    Given the logs of two instances without a request
    When the command line summarizes the logs
    Then the command exits with 3 and prints "no line reports the end of a request"
