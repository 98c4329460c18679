Feature: Measures of a run are computed according to their definitions

  Scenario: The fairness gap of two accounts is the largest change of their service difference
    Given the service series of accounts with shares 1 and 2
      | served  | 0 | 10 | 20 | 20 | 40 |
      | served  | 0 | 20 | 40 | 80 | 80 |
      | backlog | 1 | 1  | 1  | 1  | 1  |
      | backlog | 1 | 1  | 1  | 1  | 1  |
    When the fairness gap is computed
    Then the fairness gap is 20 tokens

  Scenario: Service while one account is idle does not count towards the fairness gap
    # One account sends no requests for a while and the other uses the free slots.
    # Counting that service as a gap would penalise the fleet for using its capacity.
    Given the service series of accounts with shares 1 and 1
      | served  | 10 | 20 | 120 | 220 | 230 | 240 |
      | served  | 10 | 20 | 20  | 20  | 30  | 45  |
      | backlog | 1  | 1  | 1   | 1   | 1   | 1   |
      | backlog | 1  | 1  | 0   | 0   | 1   | 1   |
    When the fairness gap is computed
    Then the fairness gap is 5 tokens

  Scenario: The single-pass computation of the fairness gap agrees with the definition
    Then the fairness gap of 40 random series equals the maximum over all intervals

  Scenario: An account is backlogged while its requests wait one after the other
    # Neither request waits throughout the four steps, but one of them always does.
    Given an observed account whose requests wait from 0.00 to 0.15 and from 0.12 to 0.45
    When the service series of the observation is built with steps of 0.1 seconds
    Then the account of the series is backlogged in the steps 0, 1, 2 and 3 only

  Scenario: Utilisation counts only the time while requests wait
    Given the occupancy samples
      | busy    | 4 | 2 | 0 | 9 |
      | slots   | 4 | 4 | 4 | 4 |
      | waiting | 1 | 1 | 0 | 1 |
    Then the utilisation of the samples is 0.833

  Scenario: Goodput excludes incomplete answers, and refusals are counted by reason
    Given an observed run with answers of 100 and 50 tokens, an incomplete one of 70 and 3 refusals
    Then the goodput of the observed run is 75 tokens a second
    And the observed run's refusals are 2 of "queue_full" and 1 of "queue_time"

  Scenario: Days that fail the gate are listed even if no rule was violated
    # A day that failed the gate went unnoticed, because only rule violations were counted.
    Given a journal entry with one day that passes, one that fails the gate and one that violates a rule
    When the days that do not pass are listed
    Then the lines say "late: 1 of 2 were served" and "LOST: 3", and nothing else
