Feature: Placement scores a few candidates of many servers

  Seventy-two servers represent a large fleet. The cost of a selection must not
  grow with the number of servers. If all candidates are ejected, placement
  uses the other servers.

  Scenario: Placement among many servers scores a dozen, the first of the prompt's order among them
    Given an instance with 72 servers
    When a prompt is placed
    Then at most 12 servers were scored for it
    And it was placed at the first server of its order

  Scenario: A prompt is placed at another server when the first of its order are ejected
    Given an instance with 72 servers
    And the first 4 servers of the prompt's order are ejected
    When a prompt is placed
    Then it was placed at a server that is not ejected

  Scenario: The only server that is not ejected is found
    # Guards against refusals while a server is available. A failure domain was
    # lost with nearly all servers. None of the dozen candidates was available,
    # and refusing the request would have left the remaining servers idle.
    Given an instance with 72 servers
    And all but the last server of the prompt's order are ejected
    When a prompt is placed
    Then it was placed at a server that is not ejected

  Scenario: A prompt is placed at an ejected server when all are ejected
    Given an instance with 72 servers
    And the first 72 servers of the prompt's order are ejected
    When a prompt is placed
    Then it was placed at one of the servers
