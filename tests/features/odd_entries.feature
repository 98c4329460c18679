Feature: One odd entry in the store costs itself only

  Other writers share the store. An instance reads entries of every kind in full, by
  polls, at its start and from relays, and must neither end nor stop following them.

  Scenario Outline: An odd entry is ignored, however an instance reads it
    # Guards against an instance that ends, or that reads the store again and again
    # and stops following it, for one entry that it can't decode.
    Given the parts of an instance that read the store
    When the entry "<key>" has each odd value, <way>
    Then the entries beside it are applied, and each part goes on

    Examples:
      | key                                       | way                |
      | servers/odd                               | in a full read     |
      | servers/odd                               | in a poll          |
      | op/config                                 | in a full read     |
      | op/config                                 | in a poll          |
      | PREFIX/instances/odd                | in a full read     |
      | PREFIX/instances/odd                | in a poll          |
      | PREFIX/quarantine/0123              | in a full read     |
      | PREFIX/quarantine/0123              | in a poll          |
      | PREFIX/quarantined-parts/0123       | in a full read     |
      | PREFIX/quarantined-parts/0123       | in a poll          |
      | PREFIX/cold-quotas/odd              | in a full read     |
      | PREFIX/cold-quotas/odd              | in a poll          |
      | PREFIX/software-versions/odd        | in a full read     |
      | PREFIX/software-versions/odd        | in a poll          |
      | PREFIX/streams/odd                  | in a full read     |
      | PREFIX/fleet-started                | in a full read     |
      | op/evacuate/odd                           | in a poll          |

  Scenario: An instance follows the store beside odd entries of every kind
    # Guards against the same in a whole instance: at its start, by polls and by
    # changes that another instance relays.
    Given two instances, and odd entries of every kind in the store
    When a server is added beside them, and more odd entries
    Then both instances use the server and have logged no failure

  Scenario: A peer with an address that can't be dialled costs itself only
    # Guards against a port out of range that ends the greenlet of a link, or the
    # handling of each request that is passed.
    When links dial each odd address
    Then each is refused as unreachable
