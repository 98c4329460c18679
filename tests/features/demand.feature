Feature: A client account has its max-min fair share of the engines' throughput

  Scenario: An account that floods is over its share, and a small account is not
    Given engines with a throughput of 100000 tokens per second
    When in 4 seconds "large" requests 600000 tokens and gets 360000
    And in the same time "small" requests 50000 tokens and gets 20000
    Then "large" is over its share, and "small" is not

  Scenario: An account that floods is over its share whatever the nominal rate
    # Guards against shares of capacity that does not exist: a quarter of the
    # nominal rate was divided where engines gave an eighth of it.
    Given engines with a throughput of 1450000 tokens per second
    When in 4 seconds "large" requests 2100000 tokens and gets 365000
    And in the same time "second" requests 730000 tokens and gets 125000
    And in the same time "third" requests 390000 tokens and gets 60000
    And in the same time "small" requests 190000 tokens and gets 120000
    Then "large" is over its share, and "third" is not
    And "large" was granted at least 2 times its share

  Scenario: Before anything was granted no account is over its share
    # Guards against a share of zero after all engines were lost.
    Given engines with a throughput of 100000 tokens per second
    When in 4 seconds "large" requests 300000 tokens and gets 0
    And in the same time "small" requests 1000 tokens and gets 0
    Then "large" was granted at most 0 times its share

  Scenario: An account that floods is over its share while engines are lost
    # Guards against computing shares from the nominal rate. A third of the
    # engines are unreachable and others fail. One account requests nearly all of
    # the nominal throughput and gets nearly all of the remaining one, while
    # another account waits. Measured against the nominal rate, no account is
    # over its share, and the account that requests most gets most.
    Given engines with a throughput of 100000 tokens per second
    When in 4 seconds "large" requests 300000 tokens and gets 130000
    And in the same time "small" requests 60000 tokens and gets 9000
    Then "large" is over its share, and "small" is not
