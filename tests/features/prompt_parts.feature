Feature: Parts of prompts that crash the engines

  Scenario: The logs tell which part the requests at crashed engines share
    # Guards against logs that can't tell crashes of one part from unrelated ones.
    Given 3 instances in front of 8 engines that one part of a prompt crashes
    And the logs are captured
    When 3 requests with the part beside different ones are sent one after the other
    Then the part is the only one that the logs name at each crash

  Scenario Outline: A part that crashes each engine reaches few engines more
    # Guards against requests, no two alike, that crash engine after engine by one
    # part of their prompts, at any instance.
    Given 3 instances in front of 8 engines that one part of a prompt crashes
    When requests with the part <place> come 4 times a second for 9 seconds beside sound ones
    Then at most 3 of them reach engines later than 3 s after the fifth crash
    And at least 3 engines have crashed under the part
    And of the sound requests sent later than 5 s after the crashes half are answered

    Examples:
      | place                                  |
      | between shared ones                    |
      | in the first place                     |
      | beside parts that only it is seen with |

  Scenario: A part that crashes each engine is known to an instance that starts
    # Guards against instances that learn anew, by crashes, which part to refuse.
    Given 3 instances in front of 8 engines that one part of a prompt crashes
    When requests with the part between shared ones come 4 times a second for 9 seconds beside sound ones, and instances are replaced after the third crash
    Then at most 3 of them reach engines later than 3 s after the fifth crash

  Scenario: A part that crashes engines in the middle of unframed answers is refused
    # Guards against crashes that look like the end of an answer without a length,
    # which would clear the part that caused them.
    Given 3 instances in front of 8 engines that one part of a prompt crashes, which answer without a length
    When requests with the part between shared ones come 4 times a second for 9 seconds beside sound ones
    Then at most 3 of them reach engines later than 3 s after the fifth crash
    And at least 3 engines have crashed under the part

  Scenario: Sound requests go on while engines end for other reasons
    # Guards against refusing the parts of requests that a crash interrupted.
    Given 3 instances in front of 8 engines that one part of a prompt crashes
    When sound requests come for 9 seconds while a third of the engines is ended 3 times
    Then no request is refused as one that crashes engines

  Scenario: The guilty request itself ends two engines at most
    # Guards against the further tries of a request that crashes each engine.
    Given 3 instances in front of 8 engines that one part of a prompt crashes
    When the operator allows 5 tries
    And 1 requests with the part beside different ones are sent one after the other
    Then at most 2 engines have crashed under the part
