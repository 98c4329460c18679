Feature: Links carry messages between instances

  Scenario: A link delivers a Hello first and then all messages in order
    Given linked instances "poa-a-1" and "poa-b-1"
    When "poa-a-1" sends the link messages 1 to 300
    Then link end "poa-b-1" receives a Hello and the numbers 1 to 300 in order
    And the links of "poa-a-1" count 300 probes and their bytes

  Scenario: Messages from an instance to itself use no socket
    Given linked instances "poa-a-1" and "poa-b-1"
    When "poa-a-1" sends itself the link messages 1 to 5
    Then link end "poa-a-1" receives its own numbers 1 to 5 and no Hello

  Scenario: State is sent again after a connection was reset
    # A brief switch failure at a dispatcher resets all its connections. The
    # sender has no further messages, so unless it watches its connection for
    # a close, the dispatcher never gets back the queue that was registered.
    Given linked instances "poa-a-1" and "poa-b-1" behind a forwarder
    And "poa-a-1" sends the state 77 on each new connection
    When "poa-a-1" sends the link messages 1 to 3
    And the link's forwarder resets every connection
    Then link end "poa-b-1" receives two Hellos, each followed by state 77

  Scenario: Messages for an unreachable peer are dropped and counted
    # A peer has stopped and its kernel refuses connections. Messages for the
    # peer must not accumulate; after its return it must get current state.
    Given linked instances "poa-a-1" and "poa-b-1" behind a forwarder
    And "poa-a-1" sends the state 77 on each new connection
    When the link's forwarder refuses connections
    And "poa-a-1" sends the link messages 1 to 3
    Then the links of "poa-a-1" count 3 messages dropped as "unreachable"
    When the link's forwarder accepts connections again
    Then link end "poa-b-1" receives a Hello followed by state 77

  Scenario: A newer connection from the same instance replaces the older one
    # After a reconnect the old socket may still hold earlier messages.
    # Reading them after the new Hello would replace newer state by older.
    Given linked instances "poa-a-1" and "poa-b-1"
    When two raw connections to "poa-b-1" send a Hello as "poa-c-1"
    Then the first raw connection is closed and only the second one is read

  Scenario Outline: Invalid input on the peers port only closes its connection
    # A port scanner, a wrong client or a faulty peer writes to the port.
    # Decoding such input could exhaust memory or crash the process, so the
    # connection must be closed and counted.
    Given linked instances "poa-a-1" and "poa-b-1"
    When a raw connection sends "<garbage>" to "poa-b-1"
    Then "poa-b-1" closes the raw connection and counts it as invalid
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

  Scenario: Damaged frames from a known peer do not crash the process
    # On each of many connections, a frame after the Hello is damaged.
    # An exception that the decoder raises in a greenlet crashes the process,
    # so damage must be detected before the bytes are decoded.
    Given linked instances "poa-a-1" and "poa-b-1"
    When 300 raw connections to "poa-b-1" each send a Hello and a damaged batch
    Then "poa-b-1" counts 300 connections as invalid
    When "poa-a-1" sends the link messages 1 to 50
    Then link end "poa-b-1" receives a Hello and the numbers 1 to 50 in order

  Scenario: Unfinished frames of unknown clients do not keep out a peer's frame
    # Guards against clients that fill the room for frames, so that peers lose
    # theirs.
    Given linked instances "poa-a-1" and "poa-b-1"
    When a raw connection to "poa-b-1" sends a Hello as "poa-c-1"
    And 200 raw connections to "poa-b-1" each send 100000 bytes of a frame
    And the first raw connection sends 18000 numbers in a frame
    Then link end "poa-b-1" receives these numbers from "poa-c-1"

  Scenario: Unknown message kinds from a newer release are skipped
    # During a rolling upgrade an instance of a newer release sends a kind of
    # message unknown to this one, which must skip it and read on.
    Given linked instances "poa-a-1" and "poa-b-1"
    When a raw connection to "poa-b-1" sends an unknown kind between 1 and 2
    Then link end "poa-b-1" receives 1 and 2 from the newer release

  Scenario: A connection without a Hello is closed after a timeout
    Given an instance "poa-b-1" with a Hello timeout of 0.3 s
    When a raw connection sends nothing to "poa-b-1"
    Then "poa-b-1" closes the raw connection

  Scenario: A peer that never reads does not block messages to other peers
    # The kernel of a suspended process accepts connections, but the process
    # reads nothing, so the queue for this peer fills. Other peers must still
    # get messages, and kernel buffers must not hide the stall.
    Given linked instances "poa-a-1" and "poa-b-1"
    And a peer "stuck-1" of "poa-a-1" that accepts and never reads
    When "poa-a-1" sends "stuck-1" link messages until its queue is full
    And "poa-a-1" sends the link messages 1 to 50
    Then link end "poa-b-1" receives a Hello and the numbers 1 to 50 in order
    And the links of "poa-a-1" eventually close the connection to "stuck-1"

  Scenario: A slow link keeps message order and does not delay other links
    Given linked instances "poa-a-1" and "poa-b-1" behind a forwarder
    And another linked instance "poa-c-1" without a forwarder
    When the link's forwarder passes 2000 bytes a second
    And "poa-a-1" sends the link messages 1 to 200 to both
    Then link end "poa-c-1" has all 200 before link end "poa-b-1" does
    And link end "poa-b-1" receives a Hello and the numbers 1 to 200 in order

  Scenario: An exception in a message handler does not close the connection
    Given linked instances "poa-a-1" and "poa-b-1"
    And "poa-b-1" fails to handle the link message 2
    When "poa-a-1" sends the link messages 1 to 3
    Then link end "poa-b-1" receives all messages but 2 and counts one failure

  Scenario: Only the message that cannot be encoded is dropped from a frame
    # A fault elsewhere passes a number out of its field's range, in one frame
    # with valid messages. Only the invalid message may be dropped and counted.
    Given linked instances "poa-a-1" and "poa-b-1"
    When "poa-a-1" sends the link messages 1, minus 1, a text and 2 at once
    Then link end "poa-b-1" receives the numbers 0, 1, 2
    And the links of "poa-a-1" count 2 messages dropped as "unsendable"

  Scenario: An idle connection is closed and reopened for the next message
    Given linked instances with a connection idle timeout of 0.3 s
    When "poa-a-1" sends the link messages 1 to 1
    And the connection to "poa-b-1" has been closed as idle
    And "poa-a-1" sends the link messages 2 to 2
    Then link end "poa-b-1" receives the numbers 0, 1, 0, 2
