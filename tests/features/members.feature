Feature: The instances decide who is alive

  Scenario: A dead instance is gone from every roster, a live one never
    # A machine loses its power: it says nothing more. Dispatch must stop
    # counting on it within seconds, and on nobody else.
    Given a fleet of 6 members that agree
    When member "m1" dies
    Then the members "m0 m2 m3 m4 m5" agree on one another
    And no member but "m1" was declared dead

  Scenario: A restart is seen as one, also with a clock that was set back
    # The same name comes back at another port, an hour earlier by its own
    # clock. Taken for the old life its empty memory would be trusted; taken
    # for a stale message it would stay dead for ever.
    Given a fleet of 4 members that agree without forwarders
    When member "m1" dies and comes back with its clock an hour back
    Then the members "m0 m1 m2 m3" agree on one another
    And the others count a restart of "m1"

  Scenario: A leaving instance announces it and is not taken for dead
    Given a fleet of 5 members that agree
    When member "m2" announces that it leaves
    Then the other members soon give "m2" no work
    And member "m2" is still answered and not declared dead

  Scenario: Halves that a partition made find each other again
    # Two failure domains lose each other for longer than anyone's patience,
    # so that each half declares the other dead. After the network is back
    # nobody starts anew, and yet all must see all again.
    Given a fleet of 6 members that agree
    When a partition holds "m0 m1 m2" apart from "m3 m4 m5"
    Then the members "m0 m1 m2" agree on one another
    And the members "m3 m4 m5" agree on one another
    When the partition between members heals
    Then the members "m0 m1 m2 m3 m4 m5" agree on one another
    And no member counts a restart

  Scenario: A link lost in one direction kills nobody
    # m0 no longer reaches m1, though m1 reaches m0. Each must learn through
    # the others that the other one lives.
    Given a fleet of 5 members that agree
    When everything from member "m0" to member "m1" is lost
    And the members have probed 20 times each
    Then the members "m0 m1 m2 m3 m4" agree on one another
    And no member but "none" was declared dead

  Scenario: A slow link kills nobody
    # One instance's answers take longer than a probe waits.
    Given a fleet of 5 members that agree
    When everything to and from member "m3" takes 0.12 s
    And the members have probed 20 times each
    Then the members "m0 m1 m2 m3 m4" agree on one another

  Scenario: A paused process wakes and declares nobody dead
    # A virtual machine is stopped for longer than its peers' patience, then
    # goes on, all its deadlines passed. It must notice that it slept,
    # declare nobody dead, and get back among the others.
    Given a fleet of 4 members that agree
    And a member "m9" in a process of its own
    When the process of member "m9" is stopped until the others drop it
    And the process of member "m9" goes on
    Then the members take "m9" back
    And the process of "m9" noticed its pause and declared nobody dead

  Scenario: The platform's list is minutes behind
    # The list still names two instances long gone and does not yet name a
    # new one. The gone ones must get no work at any time; the new one,
    # which found the others by the list, must be known to all.
    Given a fleet of 4 members whose list also names two that are gone
    When a member "m7" that the list does not name starts
    Then the members "m0 m1 m2 m3 m7" agree on one another
    And no member ever had the gone ones in its roster

  Scenario: The list says leaving, and the instance itself knows better
    # An instance was replaced under its name and the list lags: it still
    # says that the name is leaving.
    Given a fleet of 4 members that agree
    When the platform's list says that member "m2" is leaving
    Then member "m2" contradicts once and all members agree

  Scenario: Probes carry the version of the configuration
    Given a fleet of 4 members that agree
    Then each member hears version 7 of every other one

  Scenario: Rendezvous hashing moves only the keys of who went
    Given the rendezvous picks of 2000 keys among 60 member names
    When one of the member names goes
    Then only the keys that it was picked for have a new pick
    And each member name was picked for its share of keys within a third

  Scenario Outline: Instances that come back together know one another at once
    # All machines lost their power and came back. For a second or two each
    # instance took every engine for its own, and together they sent as many
    # times too much as there were instances.
    When <count> virtual members that the list names start together
    Then all <count> virtual members agree after 0.2 s

    Examples:
      | count |
      | 6     |
      | 40    |
