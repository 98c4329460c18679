Feature: What always holds, on real processes while faults happen

  Scenario: A dispatching router is killed under load
    # Agencies' callers are served through three routers. The one that
    # dispatches crashes; callers at the others must still get their own
    # answers, and the slots that it had granted must not be lost with it.
    Given a promises' fleet under load of 3 accounts
    When the promises' fleet loses a router that dispatches
    Then callers at the other routers of the promises' fleet got whole answers
    And all slots of the promises' fleet come into use again
    And no engine of the promises' fleet got more than its slots and the grants of one router

  Scenario: A router is killed while a booking runs
    # A school books, the router crashes before the answer. The school
    # retries with the same key at another router, at once and again later:
    # it must learn that the booking may have run, and never run it twice.
    Given a promises' fleet
    And the promises' booking server runs a booking without ever answering
    When a caller of the promises' fleet books, and its router is killed
    Then retries at another router of the promises' fleet end with "outcome_unknown"
    And the promises' booking ran exactly once

  Scenario: Bookings while the key-value service loses its answers
    # The claim's write took effect, but its answer was lost. Whatever the
    # first caller was told, the same key at the next router must not run
    # the booking again.
    Given a promises' fleet
    When the promises' key-value service loses its answers during 4 bookings
    Then each answer of the promises' bookings is true, and none ran twice

  Scenario: Bookings while the key-value service is down
    # Without the service no key can be claimed. The refusal says that the
    # booking did not run; so the school pays by other means, and a booking
    # that ran all the same is paid twice.
    Given a promises' fleet
    When the promises' key-value service is down during 2 bookings
    Then each of the promises' bookings was refused as not run, and none ran
    When the promises' key-value service is back and the bookings are retried
    Then each of the promises' bookings ran exactly once

  Scenario: A graceful stop under streams in progress
    # A planned replacement of a router during lessons: answers that have
    # begun must be delivered to their end, and newcomers must learn that
    # they were not run and when to come again.
    Given a promises' fleet
    And long answers in progress at every router of the promises' fleet
    When a router of the promises' fleet is asked to stop
    Then it refuses new requests of the promises' callers as not run
    And it ends with exit code 0, with the promises' answers whole

  Scenario: A router is paused for longer than its peers' patience
    # A router freezes with requests on its wires, its peers give it up, and
    # a school books again elsewhere. When it goes on, it still believes
    # what it knew before: it must not run the booking, mix up answers, or
    # stay with the old configuration.
    Given a promises' fleet under load of 2 accounts
    When a router of the promises' fleet is paused until its peers give it up
    And a promises' booking waits at the paused router and is retried elsewhere
    And an operator of the promises' fleet submits a new version
    And the paused router of the promises' fleet goes on
    Then the booking that waited at the paused router did not run again
    And every router of the promises' fleet comes to version 2, none going back
    And every answer of the promises' fleet was its caller's own and whole

  Scenario: A partition into two sides and a rejoin
    # The failure domains lose sight of one another. Both sides must serve
    # their callers, and afterwards agree again on who is there and on the
    # newest configuration.
    Given a promises' fleet under load of 2 accounts
    When the promises' fleet is partitioned until both sides see only themselves
    And an operator of the promises' fleet submits a new version
    Then both sides of the promises' fleet give whole answers
    When the partition of the promises' fleet ends
    Then every router of the promises' fleet sees all of them again
    And every router of the promises' fleet comes to version 2, none going back
    And every answer of the promises' fleet was its caller's own and whole

  Scenario: A restart without memory while the key-value service is down
    # An instance is replaced during an outage of the service that holds the
    # configuration. It must learn the newest version from its peers, or
    # the outage would take away every instance that is replaced.
    Given a promises' fleet
    When an operator of the promises' fleet submits a new version
    And a router of the promises' fleet restarts with the key-value service down
    Then every router of the promises' fleet comes to version 2, none going back
    And the restarted router of the promises' fleet gives whole answers

  Scenario: An engine leaves under load
    # Operators mark an engine as leaving before they replace it. Requests
    # that still reach it afterwards would be cut off with it.
    Given a promises' fleet under load of 2 accounts
    When an operator of the promises' fleet marks an engine as leaving
    Then every router of the promises' fleet comes to version 2, none going back
    And the leaving engine of the promises' fleet ends its work and gets no more
    And every answer of the promises' fleet was its caller's own and whole
