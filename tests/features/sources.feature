Feature: Few instances call the store in a fleet of any size

  Scenario Outline: The number of watchers is independent of the fleet's size
    # Each call to the store is paid for, and its rate limits grow more slowly
    # than the fleet. With watchers in each failure domain, polls that mostly
    # returned the same changes cost a fleet of six domains a sixth of its worth.
    # An instance that is both watcher and relay sends to its own failure domain,
    # to the two relays of each other domain, and to the two other watchers.
    Given a fleet of <instances> instances in <domains> failure domains
    Then 3 instances watch the store, in as many failure domains as possible
    And each other instance has 2 to 3 sources, in its failure domain or watchers
    And no instance is a source of more than <most> others

    Examples:
      | instances | domains | most |
      | 8         | 4       | 12   |
      | 19        | 6       | 18   |
      | 80        | 3       | 35   |
      | 195       | 6       | 47   |
      | 720       | 18      | 78   |

  Scenario: Watchers that lost the store are replaced, and later watch again
    # The store refuses the three watchers and serves the others. If the refused
    # ones remained the watchers, all other instances would poll themselves.
    Given a fleet of 80 instances in 3 failure domains
    When all watchers report that they lost the store
    Then the 3 instances that are next in rank watch
    And each replaced watcher calls the store again after 1 bound
    And the replaced watchers watch again after 4 more bounds

  Scenario: Only the candidates call a store that is down for all instances
    # Every candidate fails. If each of hundreds of instances tried as well, the
    # calls of one outage would cost more than those of a day.
    Given a fleet of 195 instances in 6 failure domains
    When each watcher in turn loses the store
    Then no more than 12 instances have watched

  Scenario: A listener that changes its source is sent the changes it missed
    # A relay restarts and knows only the changes since then. Its listeners are
    # a few changes behind. If each polled the store, a restart would cost as
    # many calls as the relay has listeners.
    Given changes of the store up to revision 9, of which 5 are kept
    Then a listener at revision 6 is sent 7, 8, 9
    And a listener at revision 2 is sent the changes after revision 4

  Scenario: An instance that learns of an outage from a source keeps servers
    # Entries of servers expired while the store was down. A watcher sees the
    # store's return and relays their removal. An instance that made no call in
    # the outage would drop every server, and refuse all requests for two seconds.
    Given an instance that lists a server and has a source
    When the source reports that the store is back, and the server's entry gone
    Then the server stays in use
    And the server is removed when its grace time is over

  Scenario Outline: Echoes of sources show whether entries expired in an outage
    # The store refuses one instance for a moment, or is down for all. Only if
    # it was down may servers without an entry be alive. If they were also kept
    # in the first case, one that left would get requests for two more seconds.
    Given an instance that lists a server and has a source
    When the store refuses its call, and its source then sends <sent>
    And the store answers again, and the server's entry is gone
    Then the server <result>

    Examples:
      | sent    | result             |
      | nothing | stays in use       |
      | an echo | is removed at once |
