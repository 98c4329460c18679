Feature: A status that promises 'not run' is sent only for requests that did not run

  # Guards against bookings that run twice: after 408, 421, 429 or 503 a caller
  # sends its request again.

  Background:
    Given an instance with a route whose requests may not run twice, and have 2 tries

  Scenario Outline: The server that got the request <fault>
    Given the server that gets the request <fault>
    When a request is sent to that route
    Then its answer promises nothing, and it was sent once

    Examples:
      | fault                                   |
      | closes                                  |
      | resets                                  |
      | crashes                                 |
      | answers nothing                         |
      | answers 408                             |
      | answers 429                             |
      | answers 503                             |
      | answers 503 with Retry-After            |
      | answers 503 and says that it leaves     |
      | answers 503 unsigned                    |
      | answers 503 and breaks off              |
      | answers 503 without a length and resets |
      | answers 100 and closes                  |
      | answers half a head                     |
      | answers no HTTP                         |
      | answers for another request, and closes |
      | answers 200 unsigned                    |
      | answers 200 encoded                     |
      | answers 200 too long                    |
      | answers 500                             |
      | answers 502                             |
      | answers 504                             |

  Scenario Outline: While the server runs the request, <change>
    Given the server closes without an answer after <change>
    When a request is sent to that route
    Then its answer promises nothing, and it was sent once

    Examples:
      | change                    |
      | it starts to leave        |
      | it restarts               |
      | its entry is removed      |
      | all entries are removed   |
      | its zone is evacuated     |
      | the key is revoked        |
      | the route is removed      |
      | the store is lost         |
      | the instance is to stop   |
      | the instance lags         |
      | the deadline passes       |

  Scenario Outline: A request that is refused after <refusal> was sent nowhere else
    # The other way round: where the status promises it, nothing ran.
    Given the servers refuse with <refusal>
    When a request is sent to that route
    Then its answer promises that it did not run

    Examples:
      | refusal                      |
      | 503 not executed             |
      | 429 not executed             |
      | 421                          |
      | a closed port                |

  Scenario: A server that ran the request after another one refused it
    # Guards against the first try's promise being kept for the second try.
    Given one server refuses as not run, and the other closes without an answer
    When a request is sent to that route
    Then its answer promises nothing, and it was sent once
