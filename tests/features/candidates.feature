Feature: A choice weighs a few of many servers

  Seventy-two servers stand for a large fleet's. What a choice costs must not
  grow with them; where the few that were picked are out, the others still
  serve.

  Scenario: A choice among many weighs a dozen, its prompt's own first
    Given an instance before 72 servers
    When a prompt is placed
    Then at most 12 servers were weighed for it
    And it went to the first of its order

  Scenario: A prompt whose own servers are out goes to another
    Given an instance before 72 servers
    And the first 4 of the prompt's order are out
    When a prompt is placed
    Then it went to a server that is not out

  Scenario: The only server that is left is found
    # A zone is lost, and nearly all servers with it. The dozen that a choice
    # draws holds none of the living ones; refusing would leave them idle.
    Given an instance before 72 servers
    And all but the last of the prompt's order are out
    When a prompt is placed
    Then it went to a server that is not out

  Scenario: Where all are out, one is tried
    Given an instance before 72 servers
    And the first 72 of the prompt's order are out
    When a prompt is placed
    Then it went to some server
