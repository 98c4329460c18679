Feature: Clients that do not keep to the protocol or its limits

  Scenario Outline: Memory is bounded while <count> callers send <what>
    # Guards against an instance that the platform ends for its memory, because
    # it holds more for each caller than it counts.
    Given a router process of 96 megabytes
    When <count> callers send <what> at <rate> a second and come again when refused
    And the crowd stays for 3 s
    Then an ordinary request is answered while the crowd is there
    When the crowd leaves
    Then an ordinary request is answered
    And the process lives, and its memory and descriptors stayed in bounds

    Examples:
      | count | rate | what                                     |
      | 150   | 100  | chunks of 2 bytes short of their end     |
      | 150   | 100  | chunks of 1 byte short of their end      |
      | 800   | 200  | one chunk short of its end               |
      | 800   | 200  | a body with a length short of its end    |
      | 600   | 200  | a head of many fields short of its end   |
      | 300   | 200  | a size line short of its end             |
      | 300   | 200  | trailers short of their end              |
      | 800   | 200  | bytes ahead behind a request in progress |
      | 300   | 200  | requests whose answers they do not read  |

  Scenario Outline: Memory is bounded in a drawn crowd, seed <seed>
    # Guards against shapes of requests that nobody listed, and their mixes.
    Given a router process of 96 megabytes
    When 400 callers with shapes drawn from seed <seed> come at 100 a second
    And the crowd stays for 3 s
    Then an ordinary request is answered while the crowd is there
    When the crowd leaves
    Then an ordinary request is answered
    And the process lives, and its memory and descriptors stayed in bounds

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

  Scenario Outline: Memory is bounded in a widely drawn crowd, seed <seed>
    # Guards against mixes with whole requests, slow readers, trickles and the
    # port of peers.
    Given a router process of 96 megabytes
    When 400 callers with shapes drawn widely from seed <seed> come at 100 a second
    And the crowd stays for 3 s
    Then an ordinary request is answered while the crowd is there
    When the crowd leaves
    Then an ordinary request is answered
    And the process lives, and its memory and descriptors stayed in bounds

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |

  Scenario: A crowd at one instance does not fill another one
    # Guards against an instance that passes on more than others can hold.
    Given a router process of 96 megabytes
    And another one beside it
    When 200 callers send whole and cut bodies in chunks of 100 bytes at 100 a second
    And the crowd stays for 4 s
    Then an ordinary request is answered while the crowd is there
    And an ordinary request is answered by the other process
    When the crowd leaves
    Then an ordinary request is answered
    And the process lives, and its memory and descriptors stayed in bounds
    And so did those of the other process

  Scenario: Silent connections do not keep ordinary callers out
    # Guards against a crowd that occupies all connections for as long as it
    # likes.
    Given a router process of 96 megabytes with 100 connections
    When 150 callers send nothing at 100 a second and come again when refused
    And the crowd stays for 3 s
    Then an ordinary request is answered while the crowd is there
    When the crowd leaves
    Then an ordinary request is answered
    And the process lives, and its memory and descriptors stayed in bounds

  Scenario Outline: A crowd that comes again at once does not keep callers out, sending <what>
    # Guards against admission by chance, where a crowd has most of the chances.
    Given a router process of 96 megabytes with 50 connections
    When 500 callers send <what> at 100 a second and come again when refused
    And the crowd stays for 2 s
    Then an ordinary request is answered while the crowd is there
    When the crowd leaves
    Then an ordinary request is answered
    And the process lives, and its memory and descriptors stayed in bounds

    Examples:
      | what                                   |
      | nothing                                |
      | one chunk short of its end             |
      | a head of many fields short of its end |

  Scenario: Refused connections are counted too
    # Guards against running out of descriptors by connections beyond the limit.
    Given a router process of 96 megabytes with 50 connections
    When 400 callers send nothing and read nothing at 1000 a second and come again when refused
    And the crowd stays for 2 s
    And the crowd leaves
    Then an ordinary request is answered
    And the process lives, and its memory and descriptors stayed in bounds

  Scenario: A slow sender gets through a crowd that stands still
    # Guards against giving up a caller that sends slowly for those that stopped.
    Given a router process of 96 megabytes
    When 300 callers send a body with a length short of its end at 100 a second and come again when refused
    And a caller sends 40000 bytes in 40 pieces with 0.1 s between them
    Then this caller is answered 200
    And the process lives, and its memory and descriptors stayed in bounds

  Scenario: A slow reader gets through a crowd that reads nothing
    # Guards against giving up a caller that reads slowly for those that stopped.
    Given a router process of 96 megabytes
    When 300 callers send requests whose answers they do not read at 100 a second and come again when refused
    And a caller reads an answer of a megabyte in pieces of 20000 bytes with 0.1 s between them
    Then this caller has received the whole answer
    And the process lives, and its memory and descriptors stayed in bounds

  Scenario Outline: A request of <what> is served in calm
    # Guards against limits that a caller meets who keeps to the operator's.
    Given a router process of 96 megabytes
    When a caller sends a request of <what>
    Then this caller is answered 200
    And the process lives, and its memory and descriptors stayed in bounds

    Examples:
      | what                                   |
      | the longest body in chunks of 1 byte   |
      | the longest body in one chunk          |
      | the longest body with a length         |
      | the longest head                       |
      | 20 pieces with 0.1 s between them      |

  Scenario Outline: The <port> port answers beside connections that <what>
    # Guards against a load balancer that takes an instance out because clients
    # occupy the port by which it asks, and against memory held there.
    Given a router process of 96 megabytes
    When 100 clients of the <port> port <what>
    And the crowd stays for 1 s
    Then the <port> port answers
    And an ordinary request is answered
    And the process lives, and its memory and descriptors stayed in bounds

    Examples:
      | port      | what                     |
      | readiness | send nothing             |
      | readiness | send heads without end   |
      | readiness | send bodies without end  |
      | operators | send nothing             |
      | operators | send heads without end   |
      | operators | send bodies without end  |

  Scenario Outline: Memory is bounded while <count> clients of the peers port <what>
    # Guards against memory for peers that a client takes before it is known
    # whether it is one, and against clients that lock out peers.
    Given a router process of 96 megabytes
    When <count> clients of the peers port <what>
    And the crowd stays for 1 s
    Then an ordinary request is answered
    And the process lives, and its memory and descriptors stayed in bounds

    Examples:
      | count | what                           |
      | 150   | send nothing                   |
      | 150   | send frames short of their end |
