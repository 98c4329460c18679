Feature: A request refused for load has a turn when it returns as told

  Three instances run in one process on a virtual clock. Their messages pass
  the codec. Turns of whole fleets are played in virtual time (bench.patterns).

  Scenario: A turn is due at any instance when the caller was told, once
    # Guards against a retry that competes with newcomers because its caller
    # reaches another instance, and against a turn that is used twice.
    Given a request that instance "one" refused
    When its caller returns to instance "two" as told
    Then it has a turn that is due
    When its caller returns to instance "three" at once
    Then it has no turn that is due

  Scenario: Early, frequent and invented returns gain nothing
    # Guards against callers that move their turn forward by returning early or
    # often, or use a fingerprint of another account.
    Given a request that instance "one" refused
    When its caller returns 50 times before it was told to
    Then it has no turn that is due
    And each time the caller was told the same due time
    When another account returns with the fingerprint as told
    Then it has no turn that is due
    When its caller returns to instance "two" as told
    Then it has a turn that is due

  Scenario: Turns of an account become due no faster than its share
    # Guards against a flood that gets more through turns than its share.
    Given a fair share of 30000 tokens per second
    When 3000 requests of 1000 tokens are refused at once
    Then at most 12 of them and at least 6 get a turn, 30 a second

  Scenario: Saved turns end before they can be used in a burst
    # Guards against an account that lets its turns add up and uses them at once.
    Given a request that instance "one" refused
    When its caller returns 1.5 seconds later than told
    Then it has no turn that is due
    And the turn is counted as expired

  Scenario: One account takes at most an eighth of the turns
    # Guards against a flood that leaves no room for turns of other accounts, or
    # fills the memory of an instance.
    When an instance is to keep 5000 turns of "flood" and 1000 each of 9 others
    Then it keeps 512 turns of "flood" and 4096 of all

  Scenario: A silent keeper of turns delays one refusal
    # Guards against refusals that each wait for a frozen instance, and against
    # one that is lost for longer than the wait.
    Given the other instances do not answer
    When 20 requests are refused at instance "one"
    Then it asked each other instance once
    And the keeper's turns end when it is lost

  Scenario: A return that is due may wait for its whole objective, and not longer
    # Guards against a return that is refused where it was promised a chance, and
    # against one that is admitted although its deadline passes before.
    Given an engine with a wait of 0.9 objectives
    Then a newcomer is refused there
    And a return that is due is placed there
    And a return with less time left than the wait is refused

  Scenario Outline: An account far beyond its share gets no turn
    # Guards against a flood that gets its share by turns and as much again as a
    # newcomer, while other accounts are refused.
    Given an engine with a wait of <wait> objectives
    When an account that was granted <ratio> times its share is refused there
    Then <count> turns are kept

    Examples:
      | wait | ratio | count |
      | 0.9  | 0.5   | 1     |
      | 0.6  | 1.1   | 1     |
      | 0.6  | 1.3   | 0     |

  Scenario Outline: Fewer returns are refused again, and shares stay fair
    # Guards against turns that serve a flood at the expense of other accounts,
    # or fill engines with requests that are late.
    When the pattern "<pattern>" is simulated with turns and without
    Then with turns at most <again> times as many returns are refused again
    And fair worth falls by at most 0.02, and no small account loses by them

    Examples:
      | pattern                  | again |
      | overload_of_unlike_sizes | 0.95  |
      | flood_of_one_account     | 0.97  |
      | burst_of_long_prompts    | 0.85  |

  Scenario: Services that do not adapt have no turns
    # Guards against a change for services that did not ask for it.
    When a flood is simulated for a service that does not adapt
    Then the result is the same as without turns
