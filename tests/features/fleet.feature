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
