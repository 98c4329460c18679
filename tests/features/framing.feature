Feature: Where a request's body ends is read in one way only

  Background:
    Given an instance on the platform with two servers of each service

  Scenario Outline: What follows a request with <fault> is not run
    # Guards against a request that is smuggled inside another one: servers
    # differ in where such a request ends.
    When a request with <fault> is sent, followed by another one
    Then it is answered with 400, and its connection is closed
    And no server received a request

    Examples:
      | fault                                  |
      | a length beside a chunked coding       |
      | a chunked coding beside a length       |
      | a length and a coding in HTTP/1.0      |
      | a coding in HTTP/1.0                   |
      | a coding in HTTP/1.0 that keeps alive  |
      | an unknown coding                      |
      | a list of codings                      |
      | a repeated coding                      |
      | a repeated coding, the last unknown    |
      | an empty coding                        |
      | a coding after a no-break space        |
      | a coding before a next-line character  |
      | a coding before a vertical tab         |
      | a coding with a blank in its name      |
      | a folded coding                        |
      | two lengths                            |
      | a repeated length                      |
      | a list of lengths                      |
      | an empty length                        |
      | a signed length                        |
      | a length with an underscore            |
      | a hexadecimal length                   |
      | a length after a no-break space        |
      | a length in other digits               |
      | a head that ends without CR            |
      | a header line that ends without CR     |
      | a request line that ends without CR    |
      | a carriage return inside a header line |
      | a no-break space in its request line   |
      | a tab in its request line              |
      | a request for a tunnel                 |
      | an empty chunk size                    |
      | a signed chunk size                    |
      | a hexadecimal prefix of a chunk size   |
      | a blank before a chunk size            |
      | a chunk size that ends without CR      |
      | a chunk extension that ends without CR |
      | a CR inside a chunk extension          |
      | a chunk longer than its size           |
      | a chunk that ends without CR           |
      | a last chunk that ends without CR      |
      | a trailer that is no field             |
      | a trailer that ends without CR         |
      | a folded trailer                       |
      | two attempt ids                        |
      | two hosts                              |

  Scenario Outline: What follows a request with <reason> is not run
    # Guards against a request behind one after which its caller said, or the
    # instance says, that the connection ends.
    When a request with <reason> is sent, followed by another one
    Then it is answered with 200, and its connection is closed
    And the plain servers received 1 requests

    Examples:
      | reason                        |
      | HTTP/1.0                      |
      | HTTP/1.0 that keeps alive     |
      | the connection option close   |
      | several connection options    |
      | several lines of them         |

  Scenario: A request without fields ends before the one behind it
    # Guards against taking the next request for a part of a head.
    When a request without fields is sent, and another request behind it
    Then the first one is answered 404, and the second one arrived as it was sent

  Scenario: A head ends at the same place wherever it is cut
    # Guards against an end of a head that is missed between two receptions.
    When a request and one behind it are sent in two parts, cut at each byte
    Then both requests are answered each time

  Scenario: A line without CR is refused before its head ends
    # Guards against a request that waits for a time limit to be refused.
    When a request is begun whose first header line ends without CR
    Then it is answered with 400, and its connection is closed
    And no server received a request

  Scenario Outline: A body in chunks with <form> arrives as it was sent
    # Guards against refusals of bodies that HTTP/1.1 allows.
    When a body in chunks with <form> is sent, and another request behind it
    Then both requests are answered, and arrived as they were sent

    Examples:
      | form                      |
      | one byte each             |
      | a chunk of 5000 bytes     |
      | leading zeros             |
      | capital digits            |
      | extensions                |
      | a blank before extensions |
      | trailers                  |
      | no bytes                  |

  Scenario: A body in chunks that reads as another request arrives as a body
    # Guards against a body that is taken for a request of its own.
    When a request is sent whose body reads as another one
    Then the plain servers received 1 requests

  Scenario: Endless trailers are refused
    # Guards against a caller that occupies an instance with trailers.
    When trailers without end follow a body in chunks
    Then it is answered with 400, and its connection is closed
    And no server received a request
