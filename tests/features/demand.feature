Feature: A client account has its max-min fair share of the engines' throughput

  Scenario: An account that floods is over its share, and a small account is not
    Given engines with a throughput of 100000 tokens per second
    When in 4 seconds "large" requests 600000 tokens and gets 360000
    And in the same time "small" requests 50000 tokens and gets 20000
    Then "large" is over its share, and "small" is not

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
