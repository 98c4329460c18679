Feature: All instances together stay within the retry budget of a service

  The users' rule counts, in any window of 10 s, the arrivals beyond the first of
  each request: at most a fifth of the requests, plus a slack.

  Scenario: Two bursts of failures within a window share one budget
    # Guards against a window that is shorter than the users': two bursts that
    # are 9.1 s apart would each get the whole budget.
    Given the retry budgets of 6 instances
    When 200 requests fail from 0.9 s on and 200 from 10 s on
    Then no window has more retries than the fleet may make

  Scenario: A restarted instance does not get its part of the slack again
    # Guards against counts that are lost with the process: all processes of the
    # fleet are replaced twice within a window, while engines fail.
    Given the retry budgets of 6 instances
    When 60 requests fail in each of 3 s, and all instances restart after each
    Then no window has more retries than the fleet may make

  Scenario Outline: A partition does not multiply the slack
    # Guards against parts of the slack that are computed from the live members
    # of an instance's own roster: each part of a partitioned fleet would use the
    # whole slack.
    Given the retry budgets of 12 instances
    When the fleet is partitioned into <parts> parts
    And 300 requests fail within 10 s
    Then no window has more retries than the fleet may make

    Examples:
      | parts |
      | 2     |
      | 3     |
      | 12    |

  Scenario: Instances that know no other member don't use the whole slack each
    # Guards against a fleet that restarts at once: until the instances have
    # found each other, each would count itself as the only one.
    Given the retry budgets of 12 instances
    When all instances have restarted 10 s ago and know no other member
    And 300 requests fail within 10 s
    Then no window has more retries than the fleet may make

  Scenario: A partition during which all entries end does not multiply the slack
    # Guards against a store that is down for so long that the leases of all
    # entries end, while the fleet is partitioned.
    Given the retry budgets of 12 instances
    When the fleet is partitioned into 3 parts
    And 300 requests fail within 10 s
    And the platform lists no instance any more
    And 300 requests fail within 10 s
    Then no window has more retries than the fleet may make

  Scenario: The part of a removed instance returns to the others
    # Guards against a budget that only shrinks, as machines are replaced.
    Given the retry budgets of 12 instances
    When 11 of them are removed for good, and 1300 s pass
    And 300 requests fail within 10 s
    Then more than half of the budget is used

  Scenario: A fleet that starts for the first time uses its budget
    Given the retry budgets of 6 instances
    When 300 requests fail within 10 s
    Then more than half of the budget is used

  Scenario: A process whose instance was listed before takes no part at first
    # Guards against a process that takes itself for the first of its name, once
    # it has written the entry that it looks for, and against one that the
    # others do not count yet.
    Given an instance whose first read of the store finds the entries of i0 and i1
    When the entry of i2 is written
    Then i0 and i2 use no part of the slack until 13.25 s have passed

  Scenario: An instance whose entry is lost takes no part until it is known again
    # Guards against an instance that others may have stopped counting.
    Given an instance whose first read of the store finds the entries of i0 and i1
    When 20 s pass, and the entry of i0 is lost and written again
    Then i0 uses no part of the slack until 13.25 s have passed

  Scenario: An instance that does not follow the list takes no part
    # Guards against an instance that does not learn of those that join.
    Given an instance whose first read of the store finds the entries of i0 and i1
    When 20 s pass, and the copy of the store becomes 2.5 s old
    Then i0 uses no part of the slack, because of "list_old"

  Scenario: A retry that is not sent is given back
    # Guards against rights that are lost to others: the caller has left, or the
    # deadline passed, while the request waited for a place.
    Given an instance with 100 requests and no part of the slack
    When as many retries as possible are reserved
    Then 10 are reserved
    When all of them are released, and as many as possible are reserved again
    Then 10 are reserved

  Scenario: A right to retry is used once
    # Guards against a right that is used and then given back, or used twice.
    Given an instance with 100 requests and no part of the slack
    When as many retries as possible are reserved
    And all of them are used, released and used again
    And as many retries as possible are reserved
    Then 0 are reserved

  Scenario: A right to retry lapses with the requests that it was based on
    # Guards against a retry that is sent in a window whose requests don't allow it.
    Given an instance with 100 requests and no part of the slack
    When as many retries as possible are reserved
    And 25 s pass for the budget
    Then none of them can be used
