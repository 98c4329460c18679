Feature: Membership holds under random faults

  Scenario: Membership holds under random faults
    # Instances start, stop, sleep, leave, lose messages and one another in
    # any order. After the faults end, each running one must believe exactly
    # the running ones alive; incarnations never run backwards.
    When the membership state machine runs 6 times with 20 steps
    Then no run of the membership machine broke its oracle
