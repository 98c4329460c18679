Feature: Instances share what they know of servers

  Three instances run in one process, with two engines that adapt. The test
  delivers their messages, and advances their clock.

  Scenario: A keeper learns from answers that other instances got
    # Guards against a keeper that knows of its servers only what its own requests
    # show, which are few.
    Given three adapting instances
    When an instance gets an answer of a server that another one keeps
    Then the keeper knows the load that the server reported
    And the keeper has a reading rate closer to that of the server

  Scenario: A keeper learns the times of plain answers
    # Guards against limits that each instance learns from its own few answers.
    Given three adapting instances
    When an instance gets 40 plain answers, each 3 times as slow with 5 requests
    Then the keeper has lowered the server's limit, and only it counts the change

  Scenario: An instance that lags does not take its delay for the server's
    # Guards against limits of all servers that fall since one instance lags.
    Given three adapting instances
    And the event loop of one that is not the keeper lags by 0.05 s
    When an instance gets 40 plain answers, each 3 times as slow with 5 requests
    Then the keeper has not lowered the server's limit

  Scenario: An estimate belongs to one start of a server
    # Guards against a restarted server that is judged by its earlier start.
    Given three adapting instances
    When a keeper has learnt a rate of 90000 tokens a second
    And the server restarts
    Then the keeper knows nothing of it

  Scenario: A limit stays within the slots of the server's entry
    # Guards against a limit from before the entry was changed.
    Given three adapting instances
    When the server's entry has 4 slots instead of 64
    Then its limit is 4 at each instance

  Scenario: Nothing is learnt of servers that do not tell when they started
    # Guards against changes for services that ask for none.
    Given three instances that do not adapt
    When an instance gets an answer of a server that another one keeps
    Then nobody knows a load, and no message has a field that is new

  Scenario: A new keeper starts from what its predecessor knew
    # Guards against a keeper that takes over a server and refuses its requests,
    # since it expects 25,000 tokens a second of it.
    Given three adapting instances
    When a keeper has learnt a rate of 90000 tokens a second
    And all instances report their demand twice
    Then all instances expect that rate, the aggregator included

  Scenario: Entries of another start, and old ones, are ignored
    # Guards against a restarted server that is judged by its earlier start.
    Given three adapting instances
    Then an entry of another incarnation is ignored
    And an entry that is 10.5 s old is ignored
    And an entry is forgotten after 10.5 s
    And an older entry does not replace a newer one

  Scenario: A keeper's own answers go before an entry of another instance
    # Guards against an entry of a lost keeper that comes after the answers that
    # its successor has got.
    Given three adapting instances
    When a keeper has learnt a rate of 90000 tokens a second
    And an entry with 30000 tokens a second reaches it that is 1 s older
    Then the keeper still expects 90000 tokens a second

  Scenario: Answers tell of all servers in turn
    # Guards against servers of which an instance is never told.
    Given three adapting instances with 40 servers
    When all servers have answered
    Then 3 answers to one instance tell of all servers, each of at most 16
