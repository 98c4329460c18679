Feature: Registration entries of other writers, and servers that restart

  Scenario Outline: An entry whose bytes are unreadable names no server
    # Guards against another program's entries among those of the servers.
    When a registration entry consists of the bytes <bytes>
    Then it names no server

    Examples:
      | bytes                |
      | b''                  |
      | b'\xff\xfe\x00'      |
      | b'{"service": "a", ' |
      | b'[]'                |
      | b'null'              |
      | b'7'                 |
      | b'"ready"'           |
      | b'[' * 100000        |
      | b'1' * 100000        |

  Scenario Outline: An entry with an invalid field names no server
    # Guards against using an address, a start time or a name that is none.
    When the field "<field>" of a registration entry is <value>
    Then it names no server

    Examples:
      | field   | value               |
      | service | missing             |
      | service | 7                   |
      | service | ""                  |
      | service | "\ud800"            |
      | address | missing             |
      | address | null                |
      | address | "engine.example:80" |
      | address | "999.0.0.1:80"      |
      | address | "127.0.0.1:0"       |
      | address | "127.0.0.1:65536"   |
      | zone    | missing             |
      | zone    | ["a"]               |
      | slots   | missing             |
      | slots   | "8"                 |
      | slots   | true                |
      | slots   | 0                   |
      | slots   | -1                  |
      | slots   | 8.0                 |
      | slots   | 1e999               |
      | state   | missing             |
      | state   | "warming"           |
      | state   | {}                  |
      | born    | "1764860000000"     |
      | born    | 1764860000000.5     |
      | born    | true                |
      | born    | null                |
      | born    | -1                  |
      | born    | 9223372036854775808 |

  Scenario Outline: An entry without a usable start time names a server
    # Guards against losing the servers of builds that register no start time.
    When the field "born" of a registration entry is <value>
    Then it names a server whose start time is unknown

    Examples:
      | value   |
      | missing |
      | 0       |

  Scenario Outline: Another field that can't be read leaves its server usable
    When the field "<field>" of a registration entry is <value>
    Then it names a server

    Examples:
      | field             | value    |
      | service           | "nobody" |
      | version           | 7        |
      | version           | "\ud800" |
      | cold_remaining_ms | "soon"   |
      | cold_remaining_ms | NaN      |
      | sequence          | "first"  |
      | sequence          | missing  |
      | further           | [1]      |

  Scenario: An entry whose key is no valid name names no server
    # Guards against refusing requests whose header can't hold the name.
    When the key of a registration entry is "servers/" and an invalid name
    Then it names no server

  Scenario: Unusable entries leave the other servers in use
    # Guards against one writer that stops service.
    Given an instance on the platform with two servers of each service
    When another writer writes an entry of each unusable form
    Then 4 requests are answered by the servers with valid entries

  Scenario: An entry of an earlier start is ignored
    # Guards against a late writer that hides the process that runs now.
    Given a directory with a server that was born at 2000
    When its entry says born 1000 at another address
    Then the server of the directory was born at 2000
    When its entry says no start time at another address
    Then the server of the directory was born at 2000

  Scenario: A server that starts again counts from the start
    # Guards against taking the lower sequence number for an old entry.
    Given a directory with a server that was born at 2000
    When its entry says born 3000 and sequence 1
    Then the server of the directory was born at 3000

  Scenario: A restored copy brings no earlier start of a removed server back
    # Guards against sending requests to a process that is long gone.
    Given a directory with a server that was born at 2000
    When the server is removed, and a restored copy has it as born at 1000
    Then the directory has no server

  Scenario: Requests at the earlier start of a server are no longer counted
    # Guards against a restarted server that looks busy and gets nothing.
    Given three instances and two engines
    When an instance that is not the keeper sends 30000 tokens to an engine
    And all instances learn that the engine restarted
    Then the keeper counts no load at that engine
    When the request at the earlier start fails
    Then the keeper counts no load at that engine
    And no instance charges the restarted engine with a failure

  Scenario: A keeper that learns first of a restart charges no earlier failure
    # Guards against a report from an instance that doesn't know of the restart.
    Given three instances and two engines
    When an instance that is not the keeper sends 30000 tokens to an engine
    And the keeper learns that the engine restarted
    And the request at the earlier start fails
    Then the keeper charges the restarted engine with no failure

  Scenario: A connection to an earlier start of a server is not reused
    # Guards against a server whose host was lost and closed no connection.
    Given a server that announces an idle timeout of 10 seconds
    When a request is sent, the server restarts, and a request is sent
    Then the server got 2 connections, of which 1 is open

  Scenario: A connection that is in use at a restart is not reused after it
    # Guards against returning a connection of the earlier start to the pool.
    Given a server that announces an idle timeout of 10 seconds
    When a request is sent across a restart, and another one after it
    Then the server got 2 connections, of which 1 is open

  Scenario: A request that was placed before a restart is sent elsewhere
    # Guards against requests that no instance counts at the new start.
    Given an instance on the platform with two servers of each service
    When the chosen server restarts before a request for "/read/x" is sent
    Then the request is answered 200 by the other server
