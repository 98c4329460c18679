Feature: Membership holds under random faults

  Scenario: A pause during a suspicion extends the time to refute it
    # m0 suspects m1 after a short network failure, then is paused for half a
    # minute. m1 has refuted the suspicion, but at m0 the deadline has passed
    # before m0 reads the refutation. m0 must extend the deadline by the
    # pause, at whatever point of its period the pause began.
    When m0 suspects m1 and is paused for 30 s at 20 points of its period
    Then m0 declares m1 dead at none of these points

  Scenario: The halves of a fleet merge after a partition of ten minutes
    # A region is partitioned for so long that links no longer try to
    # reconnect, and each half considers the other dead. After the network
    # heals, the halves must discover each other within a minute.
    Given 6 virtual members whose halves were partitioned for 600 s
    When the network of the virtual members has been healed for 60 s
    Then all 6 virtual members agree

  Scenario: Membership holds under random faults
    # Instances start, stop, pause, leave, lose messages and are partitioned
    # in any order. After the faults end, each running instance must list
    # exactly the running instances as live. Incarnations never decrease.
    When the membership state machine runs 6 times with 20 steps
    Then no run of the membership state machine violated its oracle
