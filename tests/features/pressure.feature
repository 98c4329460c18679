Feature: An instance measures the lag of its event loop

  Background:
    Given an instance whose lag samples are due every 0.05 seconds

  Scenario: Samples on time report no lag
    When 3 samples are taken on time
    Then the instance reports a lag of 0 seconds

  Scenario: A late sample reports its lag until the next sample
    When a sample is taken 0.3 seconds late
    Then the instance reports a lag of 0.3 seconds
    When 1 samples are taken on time
    Then the instance reports a lag of 0 seconds

  Scenario: An instance with sustained lag is overloaded
    # Guards against permanent overload: open connections stay, so an instance
    # that also receives the next ones of the same caller never catches up.
    When samples are taken 0.09 seconds late for 1 seconds
    Then the instance is overloaded
    When 10 samples are taken on time
    Then the instance is overloaded
    When 40 samples are taken on time
    Then the instance is not overloaded

  Scenario: A single long loop iteration does not make an instance overloaded
    When a sample is taken 0.3 seconds late
    Then the instance is not overloaded

  Scenario: An overdue sample counts before it is taken
    # Guards against accepting requests that a long loop iteration delayed, only
    # because the next sample has not been taken yet.
    When no sample is taken for 1.05 seconds
    Then the instance reports a lag of 1 seconds

  Scenario: Connections of an instance that stays overloaded are closed
    # Guards against overload by open connections: a caller keeps hundreds of
    # them to one instance, and their load stays. If they were closed before
    # the platform reacts, they would be opened again at the same instance.
    When samples are taken 0.09 seconds late for 1 seconds
    Then its open connections are not closed after their answers
    When samples are taken 0.09 seconds late for 3 seconds
    Then its open connections are closed after their answers
    When 60 samples are taken on time
    Then its open connections are not closed after their answers

  Scenario: An instance with lag batches events, already at a small lag
    # Guards against late streams on an overloaded instance: one event at a time
    # costs too much, though three events at once cost as much as one.
    Then it holds events for 0 seconds
    When samples are taken 0.01 seconds late for 3 seconds
    Then it holds events for 0.03 seconds
    When samples are taken 0.09 seconds late for 3 seconds
    Then it holds events for 0.08 seconds

  Scenario: Events that arrive during the hold time are written together
    # Guards against one read and one write per event: an engine that sends an
    # event every 0.03 seconds would cost ten of each for ten events.
    When a stream of 10 events, one every 0.03 seconds, is relayed with a hold time of 0.08 seconds
    Then its caller receives all 10 in 5 writes, the first event alone

  Scenario: An instance without lag writes each event separately
    When a stream of 10 events, one every 0.03 seconds, is relayed with a hold time of 0 seconds
    Then its caller receives all 10 in 10 writes, the first event alone
