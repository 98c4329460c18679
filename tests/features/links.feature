Feature: Links carry messages between instances

  Scenario: A link keeps the order of its messages and begins with a Hello
    Given linked instances "poa-a-1" and "poa-b-1"
    When "poa-a-1" sends the link messages 1 to 300
    Then link end "poa-b-1" receives a Hello and the numbers 1 to 300 in order
    And the links of "poa-a-1" count 300 probes and their bytes

  Scenario: Messages to oneself need no socket
    Given linked instances "poa-a-1" and "poa-b-1"
    When "poa-a-1" sends itself the link messages 1 to 5
    Then link end "poa-a-1" receives its own numbers 1 to 5 and no Hello

  Scenario: State is given again after a link was cut
    # A dispatcher's switch fails for a moment and every connection is
    # reset. The sender has nothing more to say, so without a watch on its
    # connection the queue that it registered would stay forgotten.
    Given linked instances "poa-a-1" and "poa-b-1" behind a forwarder
    And "poa-a-1" gives the state 77 on each new link
    When "poa-a-1" sends the link messages 1 to 3
    And the link's forwarder resets every connection
    Then link end "poa-b-1" receives two Hellos, each followed by state 77

  Scenario: What waits for an unreachable peer is dropped and counted
    # A peer is gone and the kernel refuses connections. Messages must not
    # pile up for it, and once it is back it must learn the present state.
    Given linked instances "poa-a-1" and "poa-b-1" behind a forwarder
    And "poa-a-1" gives the state 77 on each new link
    When the link's forwarder refuses connections
    And "poa-a-1" sends the link messages 1 to 3
    Then the links of "poa-a-1" count 3 messages dropped as "unreachable"
    When the link's forwarder accepts connections again
    Then link end "poa-b-1" receives a Hello followed by state 77

  Scenario: A newer link of the same instance replaces the older one
    # After a cut the old connection still holds messages from before it.
    # Read after the new Hello they would undo newer state.
    Given linked instances "poa-a-1" and "poa-b-1"
    When two raw links to "poa-b-1" say Hello as "poa-c-1"
    Then the first raw link is closed and only the second one is read

  Scenario Outline: Garbage on the peers port harms nobody
    # A port scanner, a wrong client or a damaged peer writes to the port.
    # Were it believed, memory or the process would be gone; the answer is
    # a closed connection and a count.
    Given linked instances "poa-a-1" and "poa-b-1"
    When a raw link sends "<garbage>" to "poa-b-1"
    Then "poa-b-1" closes the raw link and counts it as invalid
    When "poa-a-1" sends the link messages 1 to 50
    Then link end "poa-b-1" receives a Hello and the numbers 1 to 50 in order

    Examples:
      | garbage                |
      | an HTTP request        |
      | a length of 4 GiB      |
      | a frame cut short      |
      | random bytes in frames |
      | a deflate bomb         |
      | a frame sent twice     |
      | another fleet's frames |
      | no Hello first         |

  Scenario: Damaged frames of a known peer end no process
    # Frames are damaged after the Hello, on one connection after another.
    # The decoder's own exception would end the process when it is raised in
    # a greenlet, so damage must be seen before the bytes reach it.
    Given linked instances "poa-a-1" and "poa-b-1"
    When 300 raw links to "poa-b-1" each say Hello and send a damaged batch
    Then "poa-b-1" counts 300 links as invalid
    When "poa-a-1" sends the link messages 1 to 50
    Then link end "poa-b-1" receives a Hello and the numbers 1 to 50 in order

  Scenario: Messages of a newer release are passed over
    # During a rolling replacement a newer instance sends a kind of message
    # that this one does not know. It must skip it and read on.
    Given linked instances "poa-a-1" and "poa-b-1"
    When a raw link to "poa-b-1" sends an unknown kind between 1 and 2
    Then link end "poa-b-1" receives 1 and 2 from the newer release

  Scenario: A connection that says nothing is closed
    Given an instance "poa-b-1" that waits 0.3 s for a Hello
    When a raw link sends nothing to "poa-b-1"
    Then "poa-b-1" closes the raw link

  Scenario: A peer that never reads holds up nobody else
    # A stopped process accepts connections but reads nothing. Its queue
    # fills; other peers must get their messages meanwhile, and the kernel's
    # buffers must not hide that it is stuck.
    Given linked instances "poa-a-1" and "poa-b-1"
    And a peer "stuck-1" of "poa-a-1" that accepts and never reads
    When "poa-a-1" sends "stuck-1" link messages until its queue is full
    And "poa-a-1" sends the link messages 1 to 50
    Then link end "poa-b-1" receives a Hello and the numbers 1 to 50 in order
    And the links of "poa-a-1" in time give up the link to "stuck-1"

  Scenario: A slow link keeps order and slows no other link
    Given linked instances "poa-a-1" and "poa-b-1" behind a forwarder
    And another linked instance "poa-c-1" without a forwarder
    When the link's forwarder passes 2000 bytes a second
    And "poa-a-1" sends the link messages 1 to 200 to both
    Then link end "poa-c-1" has all 200 before link end "poa-b-1" does
    And link end "poa-b-1" receives a Hello and the numbers 1 to 200 in order

  Scenario: A message that a part fails over does not end the link
    Given linked instances "poa-a-1" and "poa-b-1"
    And "poa-b-1" fails over the link message 2
    When "poa-a-1" sends the link messages 1 to 3
    Then link end "poa-b-1" receives all but 2 and counts one failure

  Scenario: A message that can not be written is dropped alone
    # A fault elsewhere hands over a number that its field can't hold, in
    # one frame with good messages. Only it may be lost, and be counted.
    Given linked instances "poa-a-1" and "poa-b-1"
    When "poa-a-1" sends the link messages 1, minus 1, a text and 2 at once
    Then link end "poa-b-1" receives the numbers 0, 1, 2
    And the links of "poa-a-1" count 2 messages dropped as "unsendable"

  Scenario: An idle link is closed and made anew
    Given linked instances that close links after 0.3 s of idleness
    When "poa-a-1" sends the link messages 1 to 1
    And the link to "poa-b-1" has been closed for idleness
    And "poa-a-1" sends the link messages 2 to 2
    Then link end "poa-b-1" receives the numbers 0, 1, 0, 2
