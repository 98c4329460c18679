Feature: Versions over the wire to the key-value service

  Scenario: 25,000 client accounts over HTTP, one change, and a watch
    # The in-memory service of the other tests may be kinder than a real one:
    # values grow by a third in the gateway's JSON, and watches are streams.
    Given the stand-in key-value service and a store on it
    When a document of 25000 client accounts and a change go over the wire
    Then another store reads the change whole over the wire
    And a watch over the wire tells of version 3 once it is accepted

  Scenario: Answers are lost over the wire after the writes took effect
    # The service applies every write and closes the connection without an
    # answer. The submission must neither be lost nor applied twice.
    Given the stand-in key-value service and a store on it
    When the service loses half of its answers and 6 versions are submitted over the wire
    Then each submission over the wire ended as accepted, and the history shows each once
