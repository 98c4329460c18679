Feature: A configuration document is validated completely before submission

  Scenario Outline: The example document of each deployment is valid
    When the example document of "<deployment>" is validated
    Then the document has <accounts> client accounts and <servers> backend servers
    And the bearer key "key-<account>" belongs to "<account>"

    Examples:
      | deployment | accounts | servers | account       |
      | patrimonio | 16       | 10      | auditora-lima |
      | consorcio  | 16       | 13      | co-lan        |

  Scenario: All mistakes of a document are reported together
    # An operator submits a document with mistakes in single items and across
    # sections. If validation stopped at the first mistake, each attempt would
    # report one more, and those across sections would be reported last.
    Given the patrimonio document with these document mistakes
      | path                          | value            |
      | client_accounts[3].share      | 0                |
      | client_accounts[4].services   | []               |
      | client_accounts[5].services   | ["no-service"]   |
      | client_accounts[6].name       | "frota"          |
      | client_accounts[7].speed      | 3                |
      | client_accounts[8].keys       | ["plain-secret"] |
      | client_accounts[9].share      | NaN              |
      | backend_servers[0].failure_domain | "canoas-9"   |
      | backend_servers[1].address    | "10.51.1.11:8000" |
      | backend_servers[6].leaving    | true             |
      | backend_servers[7].leaving    | true             |
      | backend_servers[8].leaving    | true             |
      | backend_servers[9].leaving    | true             |
      | request_kinds[6].service      | "gone"           |
      | request_kinds[4].path_prefix  | "bookings"       |
      | operators[0].password         | "password"       |
      | operators[1].name             | "line\n"         |
      | operators[2].name             | "\ud800"         |
      | failure_domains[0]            | 7                |
    When the mistaken document is validated
    Then the document mistakes are at
      | path                              |
      | client_accounts[3].share          |
      | client_accounts[4].services       |
      | client_accounts[5].services[0]    |
      | client_accounts[11].name          |
      | client_accounts[7].speed          |
      | client_accounts[8].keys           |
      | client_accounts[9].share          |
      | backend_servers[0].failure_domain |
      | backend_servers[1].address        |
      | backend_servers[4].failure_domain |
      | backend_servers[6].failure_domain |
      | services[1].name                  |
      | request_kinds[6].service          |
      | request_kinds[4].path_prefix      |
      | operators[0].password             |
      | operators[1].name                 |
      | operators[2].name                 |
      | failure_domains[0]                |
    And each document mistake says what was found and what is allowed

  Scenario: One bearer key can't belong to two accounts
    # Two accounts have the same key because it was copied. Requests of one of
    # them would be served, charged and refused as those of the other.
    Given the consorcio document in which two accounts have the same key
    When the mistaken document is validated
    Then the document mistakes are at
      | path                       |
      | client_accounts[1].keys[0] |

  Scenario: A request kind shadowed by an earlier, broader kind is refused
    # An idempotent kind for any path precedes the kinds of bookings. Bookings
    # would match it first, and would be repeated after a lost answer.
    Given the consorcio document whose first plain kind matches every request
    When the mistaken document is validated
    Then the document mistakes are at
      | path                         |
      | request_kinds[4].path_prefix |
      | request_kinds[5].path_prefix |
      | request_kinds[6].path_prefix |
      | request_kinds[7].path_prefix |

  Scenario: Two account names with the same number in messages are refused
    # Messages between instances identify accounts by a 48-bit number. Accounts
    # with the same number would be charged together and share one queue.
    Given the consorcio document in which two account names have the same number
    When the mistaken document is validated
    Then the document mistakes are at
      | path                    |
      | client_accounts[1].name |

  Scenario: Validation of a large document yields to other greenlets
    # Validating 25,000 accounts takes seconds. Streams that the instance relays
    # at the same time must not stall for that long.
    Given a document of 25000 client accounts
    When the document is validated while another greenlet counts its own runs
    Then the counting greenlet ran at least 50 times
    And the document has 25000 client accounts and 13 backend servers

  Scenario: A lower version never replaces the version in force
    # After a partition a lagging peer offers an old version. If it came into
    # force, accounts that were added since would be refused.
    Given a holder with version 5 in force and a greenlet that waits for a change
    When version 4, version 5 and version 7 are applied to the holder
    Then the holder accepted only version 7
    And the greenlet that waited saw version 7
