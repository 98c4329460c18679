Feature: The example programs run and print the documented output

  # The allowed difference is the largest request in tokens times the number of
  # slots, over the smaller share: 300 x 4 and 60 x 12 tokens.
  Scenario: A fair queue in one process divides service by share
    When the example program "fairqueue" is run
    Then its table lists the accounts "hung-vuong" and "small-agency"
    And the tokens per share of the two accounts differ by at most 1200

  Scenario: Dispatch over instances in memory divides service by share
    When the example program "dispatch" is run
    Then its table lists the accounts "accounting" and "auditors"
    And the tokens per share of the two accounts differ by at most 720
    And the example prints "servers used: engine-0, engine-1, engine-2"

  Scenario: Members agree after a failure and a planned leave
    When the example program "members" is run
    Then the example prints "3 agree: poa-a-1, poa-b-1, poa-b-2"
    And the example prints 'key "auditor" is served by poa-a-1 poa-b-2'

  Scenario: A request with a claimed key runs once across two instances
    # A client that lost the response retries its booking at another instance.
    # Without the claim, both instances would confirm the booking.
    When the example program "claims" is run
    Then the example prints "first caller:  confirmed"
    And the example prints "second caller: already_done"
    And the example prints "another key:   confirmed"

  Scenario: The second of two writers to one version gets a conflict
    # An operator and an automation edit the same version. Accepting the second
    # document as well would silently revert the first change.
    When the example program "configuration" is run
    Then the example prints "lan: accepted as version 2"
    And the example prints "automation: conflict, 2 is accepted already"
    And the example prints "in force: version 2"
