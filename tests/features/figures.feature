Feature: The measures are computed as they are defined

  Scenario: The fairness gap of two accounts is the widest swing of their difference
    Given the service series of accounts with shares 1 and 2
      | served  | 0 | 10 | 20 | 20 | 40 |
      | served  | 0 | 20 | 40 | 80 | 80 |
      | backlog | 1 | 1  | 1  | 1  | 1  |
      | backlog | 1 | 1  | 1  | 1  | 1  |
    When the fairness gap is computed
    Then the fairness gap is 20 tokens

  Scenario: Service while one account is idle is no unfairness
    # One account sends nothing for a while and the other uses what is free.
    # Counting that as a gap would blame the fleet for not idling.
    Given the service series of accounts with shares 1 and 1
      | served  | 10 | 20 | 120 | 220 | 230 | 240 |
      | served  | 10 | 20 | 20  | 20  | 30  | 45  |
      | backlog | 1  | 1  | 1   | 1   | 1   | 1   |
      | backlog | 1  | 1  | 0   | 0   | 1   | 1   |
    When the fairness gap is computed
    Then the fairness gap is 5 tokens

  Scenario: The quick computation agrees with the definition
    Then the fairness gap of 40 random series equals the one by every interval

  Scenario: An account is backlogged while its requests wait in turn
    # Each request waits for less than a step of time, but one always waits.
    Given an observed account whose requests wait from 0.00 to 0.15 and from 0.12 to 0.45
    When the service series of the observation is built with steps of 0.1 seconds
    Then the account of the series is backlogged in the steps 0, 1, 2 and 3 only

  Scenario: Utilisation counts only the time while work waits
    Given the occupancy samples
      | busy    | 4 | 2 | 0 | 9 |
      | slots   | 4 | 4 | 4 | 4 |
      | waiting | 1 | 1 | 0 | 1 |
    Then the utilisation of the samples is 0.833

  Scenario: Goodput leaves out answers that are not whole, refusals are counted by reason
    Given an observed run with answers of 100 and 50 tokens, a cut one of 70 and 3 refusals
    Then the goodput of the observed run is 75 tokens a second
    And the observed run's refusals are 2 of "queue_full" and 1 of "queue_time"

  Scenario: Days that miss the gate are listed, also where no rule was broken
    # Guards against a hunt's finding that goes by, as only broken rules were counted.
    Given a journal entry with one day that passes, one that misses the gate and one that breaks a rule
    When the days that do not pass are listed
    Then the lines say "late: 1 of 2 were served" and "LOST: 3", and nothing else
