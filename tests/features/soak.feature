Feature: Promises hold while faults hit real processes

  Scenario: A few seconds of faults break no promise
    # Routers are killed, frozen, stopped and started; the store, the backend
    # servers and the ways between them fail by turns. Callers go on asking.
    When the soak plays the seed 7 for 6 seconds
    Then it found nothing
