Feature: Parts of prompts that crash the engines

  Scenario: The logs tell which part the requests at crashed engines share
    # Guards against logs that can't tell crashes of one part from unrelated ones.
    Given 3 instances in front of 8 engines that one part of a prompt crashes
    And the logs are captured
    When 3 requests with the part beside different ones are sent one after the other
    Then the part is the only one that the logs name at each crash
