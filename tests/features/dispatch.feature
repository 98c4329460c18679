Feature: Slots go to the client account that had the least service

  Scenario: A flood through every entry leaves a small account its share
    # An agency floods all entries with long requests; an auditor keeps four
    # short ones waiting at one entry. Served first come first, the auditor
    # would wait behind hundreds; by score both get the same service.
    Given a dispatch fleet of 3 instances with 2 servers of 4 slots
    And the dispatch accounts "flood" and "auditor" of equal share
    When "flood" keeps 40 dispatch requests of 300 tokens at every entry
    And "auditor" keeps 12 dispatch requests of 60 tokens at one entry
    Then the dispatch gap stays under its bound until each had 3000 tokens
    And no dispatch server ever had more than 4 requests

  Scenario: Shares divide service
    Given a dispatch fleet of 3 instances with 2 servers of 4 slots
    And the dispatch accounts "large" of share 3 and "small" of share 1
    When "large" keeps 20 dispatch requests of 60 tokens at every entry
    And "small" keeps 20 dispatch requests of 60 tokens at every entry
    Then the dispatch gap stays under its bound until each had 2000 tokens

  Scenario: An account with one home uses the slots of all dispatchers
    # One account alone is busy, and it queues at a single dispatcher that
    # owns one server of four. Without asking those that say they are free,
    # three quarters of the capacity would idle while its requests wait.
    Given a dispatch fleet of 4 instances with 4 servers of 2 slots and 1 home
    And the dispatch accounts "busy" and "other" of equal share
    When "busy" keeps 12 dispatch requests of 200 tokens at one entry
    Then all 8 dispatch slots come into use

  Scenario: A dispatcher that restarts without memory learns what is held
    # The dispatcher is killed and comes back while streams it granted go on.
    # Granting from an empty count it would send its server twice as many.
    Given a dispatch fleet of 2 instances with 1 server of 4 slots
    And the dispatch accounts "one" and "two" of equal share
    And an entry that is not the dispatch owner
    When "one" keeps 8 dispatch requests of 3000 tokens at that entry
    And the dispatch owner restarts without memory
    Then no dispatch server ever had more than 4 requests
    And the dispatch server "engine-0" counts 4 slots in use again

  Scenario: A dispatcher that restarts does not take old service for none
    # An account served for an hour and one that came a minute ago stand at
    # equal scores. A dispatcher without memory would see the first one's
    # hour and serve the other alone until it caught up.
    Given a dispatch ledger that lost its memory
    When entries report totals of 900000 and 50 with the dispatch hint 1000
    Then both dispatch scores are 1000

  Scenario: A healed partition holds nobody back for long
    # For an hour an account was served on the far side too. Counted in
    # full on rejoining, it would starve until the others had as much.
    Given a dispatch ledger with an account at score 1000
    When an entry reports 5000000 more tokens after a partition
    Then the dispatch score has grown by 64000

  Scenario: An entry that can't hear its grants holds no slots
    # The link to an entry is cut one way: it asks, but no grant arrives.
    # Its grants would keep the slots idle until TCP gives the link up.
    Given a dispatch fleet of 2 instances with 1 server of 4 slots
    And the dispatch accounts "one" and "two" of equal share
    And an entry that is not the dispatch owner
    When grants to that entry are lost
    And "one" keeps 4 dispatch requests of 100 tokens at that entry
    And "two" keeps 8 dispatch requests of 100 tokens at the other entry
    Then "two" ends 40 dispatch requests
    When grants to that entry arrive again
    Then "one" ends 10 dispatch requests

  Scenario: Slots that return during a cut are free after it
    # Four streams end while their entry's link to the dispatcher is cut, and
    # what it said is lost. Connected anew it tells all that it still holds;
    # the dispatcher must drop the rest, or four slots idle for ever.
    Given a dispatch fleet of 2 instances with 1 server of 4 slots
    And the dispatch accounts "one" and "two" of equal share
    And an entry that is not the dispatch owner
    When 4 dispatch requests of that entry end while its link is cut
    And that dispatch link is connected anew
    Then the dispatch server "engine-0" counts 0 slots in use again

  Scenario: The last granted slot of a caller that leaves comes back
    # A caller hangs up in the moment in which its slot is granted. The slot
    # belongs to nobody then, and would be lost until a restart.
    Given a dispatch fleet of 2 instances with 1 server of 4 slots
    And the dispatch accounts "one" and "two" of equal share
    When 20 dispatch callers of "one" leave as their slots are granted
    Then the dispatch server "engine-0" counts 0 slots in use again

  Scenario: A full queue refuses its own account only
    Given a dispatch fleet of 2 instances with 1 server of 4 slots
    And the dispatch accounts "flood" and "auditor" of equal share
    When "flood" has 1004 dispatch requests at one entry
    Then one more dispatch request of "flood" is refused as "queue_full"
    And "auditor" ends 5 dispatch requests there

  Scenario: A removed account's waiting requests are told so
    Given a dispatch fleet of 2 instances with 1 server of 4 slots
    And the dispatch accounts "gone" and "stays" of equal share
    When "gone" has 10 dispatch requests at one entry
    And the configuration drops the dispatch account "gone"
    Then its 6 waiting dispatch requests are refused as "account_removed"
    And its 4 running dispatch requests go on

  Scenario: A leaving backend server gets no new request
    Given a dispatch fleet of 2 instances with 2 servers of 4 slots
    And the dispatch accounts "one" and "two" of equal share
    When the configuration lets the dispatch server "engine-1" leave
    And "one" keeps 12 dispatch requests of 40 tokens at one entry
    Then "one" ends 30 dispatch requests
    And the dispatch server "engine-1" had 0 requests

  Scenario: The owner of one backend server of a service can eject it
    # Each instance owns one or two engines of nine. The limit on ejections
    # was taken of what it owns: half of one is none, so that a broken engine
    # went on getting its owner's requests.
    Given a dispatch fleet whose owners judge the health of 2 servers
    When 3 dispatch requests in a row fail at the server "engine-0"
    Then the dispatch owner of "engine-0" grants no slot there

  Scenario: A new owner hears of slots from entries that know no change
    # A dispatcher dies, and the new owner of its engine learns so seconds
    # before the entries do. It granted all slots again while they still held
    # them: the engine got twice what it batches.
    Given a dispatch fleet of 3 instances with 1 server of 4 slots
    And the dispatch accounts "one" and "two" of equal share
    And an entry that is not the dispatch owner
    When "one" keeps 8 dispatch requests of 9000 tokens at that entry
    And the dispatch owner dies and only its successor knows
    Then the successor counts 4 dispatch slots in use
    And no dispatch server ever had more than 4 requests

  Scenario: An entry without requests does not make slots count nothing
    # An account spread thinly over all entries got four times its slots: an
    # entry that had none of its requests told an estimate of zero, and with
    # it every slot the account held counted nothing.
    Given a dispatch ledger with an account at score 100
    When an entry tells 4 running dispatch requests of 300 tokens
    And another entry tells the dispatch estimate 0
    Then the dispatch score with what runs is 1300

  Scenario: Dispatch holds its promises under random cuts and restarts
    # Links are cut with messages under way, instances restart and pause,
    # callers leave. A slot counted but not held, or free while a request
    # waits, stays so: capacity idles until somebody notices.
    Given the dispatch fuzz with 120 runs of 50 steps
    Then the dispatch fuzz finds no fault
