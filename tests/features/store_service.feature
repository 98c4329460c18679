Feature: Versions are stored in a key-value service over HTTP

  Scenario: 25,000 client accounts over HTTP, one change, and a watch
    # A real service is stricter than the in-memory service of the other tests:
    # its JSON gateway makes values a third larger, and watches are streams.
    Given the stand-in key-value service and a store on it
    When a document of 25000 client accounts and a change are submitted over HTTP
    Then another store reads the complete change over HTTP
    And a watch over HTTP reports version 3 once it is accepted

  Scenario: HTTP answers are lost after the writes took effect
    # The service applies the writes and closes connections without an answer.
    # A submission must neither be lost nor applied twice.
    Given the stand-in key-value service and a store on it
    When the service loses half of its answers and 6 versions are submitted over HTTP
    Then each submission over HTTP is accepted, and the history lists each once
