Feature: Cold servers receive no more requests than they tolerate

  Scenario: Random histories keep the rate of cold servers within the bound
    # Guards against instances that together send too much because they disagree
    # on who is alive, or see a server become cold at different times.
    When the cold start state machine runs 150 times with 60 steps
    Then no run of the cold start state machine failed

  Scenario: A cold server is used at the rate that it tolerates
    # Guards against cold servers that stay idle while requests wait.
    Given five instances and a server that has just started
    When its quotas are assigned and all instances send to it for 2.5 s
    Then it received 4 requests in each second

  Scenario: A failure domain that comes back cold receives no herd
    # Guards against all callers at once at servers that have just started.
    Given five instances and 20 servers that have just started
    When their quotas are assigned and all instances send to them for 2.9 s
    Then no server received more than 4 requests in any second
    And all servers received requests

  Scenario: Nothing is sent to a cold server before its quotas are known
    # Guards against a first second in which each instance believes that it is
    # the only one that sends.
    Given five instances and a server that has just started
    When all instances send to it without quotas
    Then it received no request

  Scenario: An instance that is out of touch with the store spares cold servers
    # Guards against quotas that were replaced while an instance was cut off.
    Given five instances and a server that has just started
    When its quotas are assigned
    And an instance with a quota does not reach the store for 3.1 s
    Then this instance may not send to a cold server

  Scenario: A restarted instance waits before it uses its quota
    # Guards against a quota that is used twice in a second, by the processes
    # before and after a restart.
    Given five instances and a server that has just started
    When its quotas are assigned
    And an instance with a quota uses it up and restarts
    Then this instance may not send to it within the same second

  Scenario: Another instance assigns the quotas if the first one has died
    # Guards against cold servers that stay unused because one instance died.
    Given five instances and a server that has just started
    When the instance that assigns quotas first has died unnoticed
    Then the quotas are assigned within 0.7 s

  Scenario: The servers of an evacuated failure domain count as cold afterwards
    # Guards against servers that became cold unnoticed while they were evacuated.
    Given five instances and a warm server
    When its failure domain is evacuated for 8 s
    Then the instances count it as cold for 3 s

  Scenario: An instance that starts just after an evacuation spares its servers
    # Guards against an instance that knows of no evacuation, and reads entries
    # that the servers wrote before they became cold.
    Given five instances and a warm server
    When its failure domain is evacuated for 8 s, with quotas assigned meanwhile
    And an instance without a quota starts
    Then it sends nothing to the server for 3 s

  Scenario Outline: A cold time that can't be read counts as a start
    # Guards against an entry by which a cold server would pass for warm.
    Given an entry whose cold time is <value>
    Then its server counts as cold for 3 s from its first listing

    Examples:
      | value    |
      | missing  |
      | -5       |
      | "soon"   |
      | true     |
      | Infinity |
      | 1e300    |

  Scenario: Quotas above the limit of a new configuration are not used
    # Guards against quotas that were assigned for a higher rate.
    Given five instances and a server that has just started
    When its quotas are assigned
    And a new configuration halves the rate of cold servers
    Then no instance may send to it

  Scenario: A service with an invalid cold rate is rejected
    # Guards against a limit that is silently read as none.
    Given an operator's configuration with a cold rate of -1
    Then the configuration is rejected with an error that names the service

  Scenario: Requests go to warm servers while the cold one has no quota left
    # Guards against requests that are refused, or sent nowhere, because one
    # server is cold.
    Given an instance on the platform with a warm and a cold server
    When 12 requests for "/open/x" come one after the other
    Then each is answered 200
    And the cold server received 1 to 2 requests

  Scenario: Requests at the same time stay within a cold server's quota
    # Guards against requests that are all placed before the first one is sent.
    Given an instance on the platform with a warm and a cold server
    When 12 requests for "/open/x" come at the same time
    Then each is answered 200
    And the cold server received 1 to 2 requests

  Scenario: A request is refused at once while all servers are cold
    # Guards against requests that are held until a server is warm.
    Given an instance on the platform with two cold servers without quotas
    When a request for "/read/x" comes with the key "key-a"
    Then it is answered 503, with a Retry-After
    And no server received a request
