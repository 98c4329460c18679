Feature: Where a server's answer ends is read in one way only

  Background:
    Given an instance on the platform with two servers of each service

  Scenario Outline: An answer with <fault> is not passed on
    # Guards against a body that another reader would end elsewhere, and against
    # one that is not in the form in which the server meant it.
    Given all plain servers send an answer with <fault>
    When a request for "/write/x" comes with the key "key-a"
    Then it is answered 502

    Examples:
      | fault                             |
      | a length beside a chunked coding  |
      | a chunked coding beside a length  |
      | a coding in HTTP/1.0              |
      | a repeated coding                 |
      | a list of codings                 |
      | a coding after the chunked one    |
      | an unknown coding                 |
      | two lengths                       |
      | a list of lengths                 |
      | a signed length                   |
      | a folded length                   |
      | a head that ends without CR       |
      | a chunk size that ends without CR |
      | a chunk longer than its size      |
      | a switch of protocols             |

  Scenario Outline: An answer with the status <status> to <request> is no answer
    # Guards against a status that HTTP does not have and that reaches a caller,
    # and against a wait until the deadline for an answer behind it.
    Given all servers send an answer with the status <status>
    When a caller waits for the answer to <request>
    Then it is answered 502

    Examples:
      | status | request                        |
      | 000    | a request that may run once    |
      | 001    | a request that may run once    |
      | 099    | a request that may run once    |
      | 101    | a request that may run once    |
      | 600    | a request that may run once    |
      | 999    | a request that may run once    |
      | 000    | a request that may be repeated |
      | 099    | a request that may be repeated |
      | 600    | a request that may be repeated |
      | 000    | a request for a stream         |
      | 600    | a request for a stream         |

  Scenario: A status that HTTP does not have, before a whole answer, fails the request
    # Guards against bytes that are no answer, and are skipped like an interim one.
    Given all servers send the status 099 and then a whole answer
    When a caller waits for the answer to a request that may run once
    Then it is answered 502

  Scenario: An answer follows an interim one
    Given all servers send the status 199 and then a whole answer
    When a caller waits for the answer to a request that may run once
    Then it is answered 200 with the body "whole"

  Scenario Outline: Trailers that arrive <when> the head are no headers
    # Guards against a field behind the body that changes what the head says.
    Given all plain servers send trailers <when> the head
    When a request for "/write/x" comes with the key "key-a"
    Then it is answered 200 with the body "whole"
    And the answer has none of the trailers

    Examples:
      | when  |
      | with  |
      | after |

  Scenario Outline: An answer to HEAD after <what> is not that
    # Guards against an earlier answer, or a part of a head, that is taken for
    # the answer to a HEAD request.
    Given all plain servers send <what> before their answer to HEAD ends
    When a HEAD request for "/write/x" comes
    Then it is answered 502

    Examples:
      | what                           |
      | an earlier answer with a body  |
      | a malformed line               |
      | a malformed line after a 103   |
      | no HTTP after a 103            |

  Scenario: A stream that breaks off is reset for a caller of HTTP/1.0
    # Guards against a part of a stream that looks whole, because it ends with its
    # connection.
    Given the engines break off after event 3
    When a caller of HTTP/1.0 requests a stream from "/once/x"
    Then the caller's connection is reset behind event 3
