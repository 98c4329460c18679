Feature: Membership holds under random faults

  Scenario: Whoever sleeps while it suspects another one believes it later
    # m0 lost m1 for a moment and suspects it, then is stopped for half a
    # minute. m1 has long refuted, but m0 finds its deadline passed before
    # it reads that. It must give m1 the time that it slept, at whatever
    # point of its period it was stopped.
    When m0 suspects m1 and sleeps 30 s, begun at 20 points of its period
    Then m0 declares m1 dead at none of these points

  Scenario: Halves that parted for ten minutes find each other again
    # A region is cut off for so long that links no longer try to make
    # their connections anew, and each half holds the other for dead. After
    # the network heals they must find each other within a minute.
    Given 6 virtual members, the halves of which parted for 600 s
    When the network of the virtual members heals for 60 s
    Then all 6 virtual members agree

  Scenario: Membership holds under random faults
    # Instances start, stop, sleep, leave, lose messages and one another in
    # any order. After the faults end, each running one must believe exactly
    # the running ones alive; incarnations never run backwards.
    When the membership state machine runs 6 times with 20 steps
    Then no run of the membership machine broke its oracle
