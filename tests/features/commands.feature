Feature: The command line says how it ended, by text and exit code

  Background:
    Given a command line with a stand-in key-value service

  Scenario: A document is accepted once, and a stale one conflicts
    # Two people edit version 0 at the same time. The second to submit would
    # silently undo the first one's change if its base were not compared.
    When the command line submits the small document on base 0
    Then the command line ended with 0 and said "accepted as version 1"
    When the command line submits the small document with a new share on base 0
    Then the command line ended with 4 and said "share 1"
    When the command line submits the small document with a new share on base 1
    Then the command line ended with 0 and said "accepted as version 2"

  Scenario: Every mistake of a document is named and nothing is submitted
    When the command line submits the small document with two mistakes on base 0
    Then the command line ended with 3 and said "2 mistake(s)"
    And the command line's key-value service holds no key

  Scenario: A submission that surely was not applied says so
    Given the command line's key-value service is in the mode "down"
    When the command line submits the small document on base 0
    Then the command line ended with 6 and said "nothing was applied"

  Scenario: A submission whose every answer is lost ends truthfully
    # Each write takes effect and its answer is lost. Whoever submitted must
    # not be told that nothing happened: reading settles what was written.
    Given the command line's key-value service is in the mode "lose_answers"
    When the command line submits the small document on base 0
    Then the command line ended with 0 and said "accepted as version 1"
    And the command line's key-value service holds a manifest

  Scenario: A settings file and a document are told apart by what they hold
    When the command line checks the file "examples/consorcio/document.toml"
    Then the command line ended with 0 and said "16 client accounts"
    When the command line checks its settings file
    Then the command line ended with 0 and said "the settings are valid"

  Scenario: A router does not start on mistaken settings
    When the command line starts a router with the settings of a document
    Then the command line ended with 3 and said "backend_servers"

  Scenario: A hang-up while a router loads does not end it
    # The platform changes the settings file of an instance that it has just
    # started, and says so by a signal. The process, which has not got as far
    # as to expect one, is gone without a word.
    When a router is hung up on while it loads
    Then the command line ended with 3 and said "(file)"

  Scenario: A router that is asked to stop once more still stops in order
    # It finishes the requests that are under way when the platform asks again.
    # The second signal ends the process, and cuts all of them off.
    When a router is asked to stop while it stops
    Then the command line ended with 0 and said "stopped in order"

  Scenario: A router that is asked to stop while it exits ends in order
    # Guards against an exit code of a failure after a stop that lost nothing.
    When a router is asked to stop after it has stopped
    Then the command line ended with 0 and said "ended in order"

  Scenario: A wrong command line explains itself
    When the command line gets "submit --help"
    Then the command line ended with 0 and said "made from"
    When the command line gets "launch"
    Then the command line ended with 2 and said "launch"

  Scenario: One request's story is told out of several logs
    # A user complains of a slow answer. The request was tried at two servers,
    # one of which an instance had found to fail a moment before.
    Given the logs of two instances about the request "a-17"
    When the command line explains the request "a-17"
    Then the command line ended with 0 and said "try_failed"
    And the story is in the order of time, and names what was learnt before
    And the story holds no line of another request

  Scenario: All attempts at one request are found by its fingerprint
    # Guards against omitting repeated attempts, which have different ids.
    Given the logs of two instances about attempts with fingerprint "f00d"
    When the command line explains the request "f00d"
    Then the command line ended with 0 and said "request_id=b-1"
    And the command line ended with 0 and said "request_id=b-2"
    And the story holds no line of another request

  Scenario: A request that no log tells of is said to be unknown
    Given the logs of two instances about the request "a-17"
    When the command line explains the request "a-99"
    Then the command line ended with 3 and said "no line tells of"

  Scenario: Logs tell whose requests are served badly, and when
    # Some users complain, most don't. One large account is refused most, and
    # rightly; a small one within its share is refused, too, which no count of
    # all requests shows.
    Given the logs of two instances about a large account and a small one
    When the command line summarizes the logs
    Then the command line ended with 0 and said "over_share"
    And the summary says "small" is at "0%" and "large" at "50%"

  Scenario: Logs tell whether large requests are served as often as others
    # Guards against attempts that count as requests, and hide who was served.
    Given the logs of an instance that refuses large requests, twice each
    When the command line summarizes the logs
    Then the summary says "all" had 100 requests, "90%" served
    And the summary says "largest tenth" had 10 requests, "0%" served
    And the summary says "fifth below" had 20 requests, "100%" served
    And the command line ended with 0 and said "refused at 300 ms to read, 40 ms ahead, 240 ms allowed"

  Scenario: Logs that tell of no request are said to be so
    Given the logs of two instances about nothing
    When the command line summarizes the logs
    Then the command line ended with 3 and said "no line tells how"
