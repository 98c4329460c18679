Feature: Instances agree on the live members

  Scenario: A dead instance is removed from the live members, a live one never
    # A machine loses its power and sends nothing more. Dispatch must stop
    # using this instance within seconds, and keep using all others.
    Given a fleet of 6 members that agree
    When member "m1" dies
    Then the members "m0 m2 m3 m4 m5" agree on one another
    And no member but "m1" was declared dead

  Scenario: A restart is detected even if the clock was set back
    # An instance restarts at another port, with its clock set back an hour.
    # Mistaken for the old process, its lost state would be relied on; with
    # its messages rejected as outdated, it would stay dead for ever.
    Given a fleet of 4 members that agree without forwarders
    When member "m1" dies and restarts with its clock set back an hour
    Then the members "m0 m1 m2 m3" agree on one another
    And the other members count one restart of "m1"

  Scenario: A leaving instance announces it and is not declared dead
    Given a fleet of 5 members that agree
    When member "m2" announces that it leaves
    Then the other members remove "m2" from their live members
    And member "m2" stays in the state leaving and is not declared dead

  Scenario: The halves of a fleet merge after a partition heals
    # Two failure domains are partitioned for longer than the suspicion
    # timeout, so each half declares the other dead. After the network heals,
    # all members must see one another again without a restart.
    Given a fleet of 6 members that agree
    When a partition separates "m0 m1 m2" from "m3 m4 m5"
    Then the members "m0 m1 m2" agree on one another
    And the members "m3 m4 m5" agree on one another
    When the partition between members heals
    Then the members "m0 m1 m2 m3 m4 m5" agree on one another
    And every member counts a returned member and no restart

  Scenario: A link that fails in one direction causes no death
    # m0 no longer reaches m1, though m1 reaches m0. Each must learn from
    # indirect probes that the other is alive.
    Given a fleet of 5 members that agree
    When all messages from member "m0" to member "m1" are lost
    And each member has sent 20 more probes
    Then the members "m0 m1 m2 m3 m4" agree on one another
    And no member but "none" was declared dead

  Scenario: A slow link causes no death
    # The answers of one instance take longer than the probe timeout.
    Given a fleet of 5 members that agree
    When all messages to and from member "m3" are delayed by 0.12 s
    And each member has sent 20 more probes
    Then the members "m0 m1 m2 m3 m4" agree on one another

  Scenario: A process that resumes after a pause declares no member dead
    # A virtual machine is stopped for longer than the suspicion timeout of
    # its peers. When it resumes, all its deadlines have passed. It must
    # detect the pause, declare no member dead, and rejoin the others.
    Given a fleet of 4 members that agree
    And a member "m9" in a separate process
    When the process of member "m9" is stopped until all members drop it
    And the process of member "m9" resumes
    Then the members list "m9" as live again
    And the process of "m9" detected its pause and declared no member dead

  Scenario: An outdated list of instances neither adds nor hides an instance
    # The list still contains two removed instances, and not yet a new one.
    # The removed instances must get no work at any time; the new one, which
    # discovered the others through the list, must be known to all members.
    Given a fleet of 4 members whose list also has two removed instances
    When a member "m7" that is not on the list starts
    Then the members "m0 m1 m2 m3 m7" agree on one another
    And no member has the removed instances in its roster

  Scenario: An instance refutes an outdated leaving mark on the list
    # An instance was replaced under the same name, and the list lags: it
    # still marks that name as leaving.
    Given a fleet of 4 members that agree
    When the platform's list marks member "m2" as leaving
    Then member "m2" refutes the mark once and all members agree

  Scenario: Probes carry the configuration version
    Given a fleet of 4 members that agree
    Then each member receives version 7 from every other one

  Scenario: Rendezvous hashing moves only the keys of a removed member
    Given the rendezvous picks of 2000 keys among 60 member names
    When one of the member names is removed
    Then only the keys of the removed name get a new pick
    And each member name has its share of the keys within a third

  Scenario Outline: Instances that restart together discover each other at once
    # All machines restarted after a power failure. For a second or two each
    # instance used every engine as if it were the only instance, so with n
    # instances the engines got n times the load they could take.
    When <count> virtual members on the list start together
    Then all <count> virtual members agree after 0.2 s

    Examples:
      | count |
      | 6     |
      | 40    |
