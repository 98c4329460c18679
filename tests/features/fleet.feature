Feature: A complete fleet of real processes

  Scenario: Prompts of every length get complete answers through every router
    # The router failed to hash the prefixes of prompts of a few hundred
    # characters and reported an unknown outcome, while shorter prompts were
    # answered.
    Given a running fleet of 2 routers
    When prompts of 1, 60, 300 and 3000 words are sent through every router of the fleet
    Then the fleet returned the expected complete answer to each prompt
    And no router of the fleet has a child process
    When the routers of the fleet are stopped one after the other
    Then each router of the fleet ended with exit code 0

  Scenario: A short load over delayed links yields all measures
    When a small fleet of 3 routers is measured for 6 seconds
    Then the measured fleet returned only complete answers
    And the measured fleet's fields are all present, and its gap is within its bound

  Scenario: Operators submit to and query a running fleet from the command line
    # Automation knows a router's operators' port and has no settings file. A wrong
    # password, a stale base version and a stopped router have different exit codes.
    Given a running fleet of 2 routers
    When the fleet's operator submits a new share on base 1
    Then the fleet's command line exited with 0 and printed "accepted as version 2"
    And every router of the fleet shows version 2 in its status
    When the fleet's operator submits a new share on base 1
    Then the fleet's command line exited with 4 and printed "version 2"
    When the fleet's operator submits a share of zero on base 2
    Then the fleet's command line exited with 3 and printed "client_accounts[0].share"
    When the fleet's status is requested with a wrong password
    Then the fleet's command line exited with 7 and printed "name and password"
    When a router of the fleet is killed and its status is requested
    Then the fleet's command line exited with 6 and printed "does not answer"

  Scenario: A router without a configuration refuses requests as not ready
    # A router restarts while the key-value service is down and it has no
    # peers. Callers received the error that their key was unknown and gave
    # up, instead of retrying at another instance a moment later.
    Given a running fleet of 1 routers
    When the fleet's router restarts while the key-value service is down
    Then a request to the fleet is refused with 503 and "not_ready"
    When the key-value service of the fleet is available again
    Then the fleet accepts requests again
