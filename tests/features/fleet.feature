Feature: A whole fleet of real processes

  Scenario: Prompts of every length are answered whole, through every router
    # A caller sends a prompt of a few hundred characters. The router failed
    # on the hashes of its prefixes, and said that the outcome was unknown,
    # while shorter prompts were answered.
    Given a running fleet of 2 routers
    When the fleet is sent prompts of 1, 60, 300 and 3000 words through every router
    Then each prompt got its own whole answer from the fleet
    And no router of the fleet has a child process
    When the routers of the fleet are stopped one after the other
    Then each router of the fleet ended with exit code 0

  Scenario: A short load through delayed links is measured whole
    When a small fleet of 3 routers is measured for 6 seconds
    Then the measured fleet gave only whole answers
    And the measured fleet's fields are all there, and its gap is within its bound

  Scenario: Operators submit to and ask a running fleet from the command line
    # Automation has a router's operators' port and no settings file. A
    # wrong password, a stale base and a router that is gone are told apart.
    Given a running fleet of 2 routers
    When the fleet's operator submits a new share on base 1
    Then the fleet's command line ended with 0 and said "accepted as version 2"
    And every router of the fleet shows version 2 in its status
    When the fleet's operator submits a new share on base 1
    Then the fleet's command line ended with 4 and said "version 2"
    When the fleet's operator submits a share of zero on base 2
    Then the fleet's command line ended with 3 and said "client_accounts[0].share"
    When a stranger asks the fleet for its status
    Then the fleet's command line ended with 7 and said "name and password"
    When a router of the fleet is killed and asked for its status
    Then the fleet's command line ended with 6 and said "does not answer"

  Scenario: A router without a configuration does not call keys unknown
    # A router restarts while the key-value service is down and no peer is
    # there. Its callers were told that their keys were unknown and gave up,
    # instead of asking another instance a moment later.
    Given a running fleet of 1 routers
    When the fleet's router restarts while the key-value service is down
    Then a request to the fleet is refused with 503 and "not_ready"
    When the key-value service of the fleet is back
    Then the fleet takes requests again
