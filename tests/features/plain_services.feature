Feature: A plain server gets as many requests as it answers in time

  Fifty-nine instances send requests to four servers with six slots each. The
  test delivers their messages, and advances their clock.

  Scenario: Many instances together do not overfill the servers
    # Guards against servers that reject requests and reset connections, because
    # each instance counts its own requests only.
    Given a fleet whose services adapt
    And a usual time of 90 ms
    When each instance reserves 3 places
    Then no server has more than 17 places
    And the others were refused for the load, with a time to come back

  Scenario: Services that do not adapt are placed as before
    # Guards against asks and refusals at services that did not ask for them.
    Given a fleet whose services do not adapt
    When each instance reserves 3 places
    Then 177 places were reserved without a message

  Scenario: A server that is slow gets no request while a faster one has places
    # Guards against a choice by the number of requests: a machine that others
    # use too answers few requests, and late.
    Given a fleet whose services adapt
    And a usual time of 90 ms
    And the keepers expect 4 times as long at the first server
    When 3 instances reserve 3 places each
    Then the first server has 0 places

  Scenario: A request that can't be answered in the time left is refused at once
    # Guards against requests that take a place and are given up before they are
    # answered.
    Given a fleet whose services adapt
    And a usual time of 90 ms
    When an instance reserves a place with 50 ms left
    Then it is refused for the load, and the servers run nothing

  Scenario: A request whose deadline passes during an ask takes no place
    # Guards against places that are counted although their request ended while
    # its instance waited for a keeper.
    Given a fleet whose services adapt
    When the deadline of a request passes while its instance asks
    Then the servers run nothing

  Scenario: An instance whose keepers are frozen decides by its own counts
    # Guards against refusals and waits while keepers do not answer.
    Given a fleet whose services adapt
    And no message is delivered
    When an instance reserves 5 places
    Then 5 places were reserved

  Scenario: A keeper that comes back counts no earlier request
    # Guards against places that stay taken: the ends of these requests went to
    # the instance that kept the server meanwhile.
    Given a fleet whose services adapt
    And 6 requests at a server
    When another instance keeps the server while the requests end
    And the first one keeps it again
    Then the servers run nothing

  Scenario: A request whose end is lost is counted until its deadline
    # Guards against places that stay taken for half a minute.
    Given a fleet whose services adapt
    And 6 requests at a server
    When their ends are lost, and 4 seconds pass
    Then the servers run nothing

  Scenario: A server that rejects requests gets fewer at once, and more later
    # Guards against rejections that go on because a server accepts no queue,
    # and against a queue that is never tried again.
    Given a fleet whose services adapt
    And a usual time of 90 ms
    When a server rejects a request while 8 others run
    Then it gets 8 at once, 9 after 1 second, and 6 after 20 rejections

  Scenario Outline: A request waits for a place that becomes free in time
    # Guards against refusals while servers run as many requests as they accept,
    # and against newcomers that get the place of a request that waits.
    Given a fleet whose services adapt
    And a usual time of 90 ms
    And servers that accept 6 requests, and have them
    When <instance> asks for a place, then another one, and one becomes free
    Then <instance> has the place, and the other one is refused in time

    Examples:
      | instance        |
      | the keeper      |
      | another instance |

  Scenario: A request that ends while it waits takes no place
    # Guards against places that are granted to requests whose callers left.
    Given a fleet whose services adapt
    And a usual time of 90 ms
    And servers that accept 6 requests, and have them
    When a request ends while it waits, and a place becomes free
    Then the servers run 23 requests

  Scenario Outline: The servers reject few requests, and as many are in time
    # Guards against refusals of what could be served, while servers are busy,
    # machines slow down and keepers are lost.
    When the <deployment> deployment is offered <load> times its capacity
    Then at most 0.03 of the requests are rejected by a server
    And at least 0.97 times as many are in time as without keepers

    Examples:
      | deployment | load |
      | first      | 0.8  |
      | second     | 0.8  |
      | second     | 1.2  |

  Scenario Outline: The number of connections of a service is decoded
    # Guards against a value of another type that makes the whole configuration
    # unusable.
    When the operator's service has the connections <value>
    Then an instance of 59 keeps <count> idle connections to a server

    Examples:
      | value  | count |
      | 410    | 3     |
      | "many" | None  |
      | true   | None  |
      | -1     | None  |
