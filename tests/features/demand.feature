Feature: A client account has its max-min share of what engines manage

  Scenario: An account that floods is over its share, a small one is not
    Given engines that manage 100000 tokens a second
    When in 4 seconds "large" asks for 600000 tokens and gets 360000
    And in the same time "small" asks for 50000 tokens and gets 20000
    Then "large" is over its share, and "small" is not

  Scenario: An account that floods is over its share while engines are lost
    # A third of the engines are dark and others fail. One account asks for
    # nearly all that the engines manage on a good day, and gets nearly all that
    # they still do; another waits all through. Told by the rate of a good day,
    # nobody is over a share, and whoever asks most gets most.
    Given engines that manage 100000 tokens a second
    When in 4 seconds "large" asks for 300000 tokens and gets 130000
    And in the same time "small" asks for 60000 tokens and gets 9000
    Then "large" is over its share, and "small" is not
