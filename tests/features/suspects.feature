Feature: Evidence of which part of a prompt crashes the engines

  Scenario: In random histories a deadly part reaches few engines more
    # Guards against evidence that restarts, partitions, delays, or a store that is
    # down or restored, take from the instances that need it.
    When 40 random histories of a fleet are played
    Then in each at most 3 requests with the part reach engines too late
    And of the sound requests less than 1 in 20 is refused

  Scenario: An account can't get the part of another one refused
    # Guards against an account that adds another one's part to its own requests
    # that crash engines.
    Given a fleet of instances that know of no crash
    When 8 engines crash under requests of "d" with the part "p" and one of its own
    Then each instance refuses requests of "d" with the part "p"
    And each instance admits requests of "a" with the part "p"

  Scenario: A part that crashes engines is refused for all accounts
    # Guards against engines that each further account crashes anew.
    Given a fleet of instances that know of no crash
    When an engine crashes under a request of each of "a", "b" and "c" with the part "p"
    Then each instance refuses requests of "d" with the part "p"
    And each instance admits requests of "a" with the part "q"

  Scenario: Engines that end together count once
    # Guards against refusing the parts that were in flight when a rack lost power.
    Given a fleet of instances that know of no crash
    When 10 engines end at the same moment under requests of "a" with the part "p"
    Then each instance admits requests of "a" with the part "p"

  Scenario: A crash that is reported late counts once
    # Guards against refusing a part for one crash, of which several instances
    # tell over links that hold their messages up for seconds.
    Given a fleet of instances that know of no crash
    When one engine ends under requests of "a" with the part "p", and each instance reports it 2 s after another
    Then each instance admits requests of "a" with the part "p"

  Scenario: A completed answer clears a part at all instances
    # Guards against adding up crashes of other causes under a part that is sound.
    Given a fleet of instances that know of no crash
    When 2 engines crash under requests of "a" with the part "p"
    And an answer to a request of "b" with the part "p" is completed
    And 2 engines crash under requests of "a" with the part "p"
    Then each instance admits requests of "a" with the part "p"

  Scenario: A part that was completed elsewhere is cleared where it was reported
    # Guards against an instance that refuses a part which the others know as sound.
    Given a fleet of instances that know of no crash
    When an answer to a request of "a" with the part "p" is completed
    And 2 engines crash under requests of "a" with the part "p"
    Then no instance keeps crashes under the part "p"

  Scenario: Parts that an account makes up push out no evidence
    # Guards against an account that hides a deadly part behind others, or fills the
    # memory with them.
    Given a fleet of instances that know of no crash
    When 2 engines crash under requests of "a" with the part "p"
    And 2 engines crash under requests of "d" with the part "q"
    And 300 engines crash under requests of "d" with 30 parts of their own
    Then the instances keep no more than 300 parts
    When 1 engines crash under requests of "a" with the part "p"
    And 1 engines crash under requests of "d" with the part "q"
    Then each instance refuses requests of "a" with the part "p"
    And each instance refuses requests of "d" with the part "q"

  Scenario Outline: A refused part outlasts the instances
    # Guards against engines that crash again under a part once all instances have
    # been replaced, or the store has been restored from an older copy.
    Given a fleet of instances that know of no crash
    When the store is copied
    And 3 engines crash under requests of "a" with the part "p"
    And the instances read and write the store
    And <event>
    Then each instance refuses requests of "a" with the part "p"

    Examples:
      | event                                                       |
      | all instances are replaced                                  |
      | the store is restored from the copy                         |
      | the store is restored, and all are replaced 20 s after that |

  Scenario: A part that has become sound is served again after a trial
    # Guards against refusing for good what no longer crashes engines.
    Given a fleet of instances that know of no crash
    When 3 engines crash under requests of "a" with the part "p"
    And requests of "a" with the part "p" are sent to all instances for 30 seconds, and are answered
    Then each instance admits requests of "a" with the part "p"

  Scenario: A part that still crashes engines gets one trial in the whole fleet
    # Guards against trials of each instance that knows of no other one.
    Given a fleet of instances that know of no crash
    When 3 engines crash under requests of "a" with the part "p"
    And no instance reaches another one
    And requests of "a" with the part "p" are sent to all instances for 200 seconds, and crash engines
    Then 1 more engine has crashed

  Scenario: A store that is restored brings no second trial
    # Guards against trials that begin anew with an older copy of the store.
    Given a fleet of instances that know of no crash
    When 3 engines crash under requests of "a" with the part "p"
    And the instances read and write the store
    And the store is copied
    And requests of "a" with the part "p" are sent to all instances for 30 seconds, and crash engines
    And the store is restored from the copy
    And requests of "a" with the part "p" are sent to all instances for 60 seconds, and crash engines
    Then 1 more engine has crashed

  Scenario: An operator can release a refused part
    # Guards against refusing a part after the engines were repaired.
    Given a fleet of instances that know of no crash
    When 3 engines crash under requests of "a" with the part "p"
    And the instances read and write the store
    And the operator deletes the entries of refused parts
    Then each instance admits requests of "a" with the part "p"
