Feature: The examples run, and print what their pages say

  # The allowed difference is the largest request times the slots, over the
  # smaller share: 300 x 4 and 60 x 12 tokens.
  Scenario: A fair queue in one process divides service by shares
    When the example program "fairqueue" is run
    Then its table has the accounts "hung-vuong" and "small-agency"
    And their tokens by share differ by at most 1200

  Scenario: Dispatch over instances in memory divides service by shares
    When the example program "dispatch" is run
    Then its table has the accounts "accounting" and "auditors"
    And their tokens by share differ by at most 720
    And the example prints "servers used: engine-0, engine-1, engine-2"

  Scenario: Members agree after a failure and a planned leave
    When the example program "members" is run
    Then the example prints "3 agree: poa-a-1, poa-b-1, poa-b-2"
    And the example prints 'key "auditor" is served by poa-a-1 poa-b-2'

  Scenario: A claimed key is confirmed once over two instances
    # A caller whose answer was lost sends its booking again, to another
    # instance. Without the claim both would confirm it.
    When the example program "claims" is run
    Then the example prints "first caller:  confirmed"
    And the example prints "second caller: already_done"
    And the example prints "another key:   confirmed"

  Scenario: Of two writers that change one version the second is told
    # An operator and the automation edit the same version. Were the later
    # one's document taken, the earlier change would silently be undone.
    When the example program "configuration" is run
    Then the example prints "lan: accepted as version 2"
    And the example prints "automation: conflict, 2 is accepted already"
    And the example prints "in force: version 2"
