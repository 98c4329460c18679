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
