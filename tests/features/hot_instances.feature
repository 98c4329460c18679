Feature: An account gets its part also where single instances lack time

  A load balancer sends all callers of an account to one instance. In virtual time,
  with the real placement, demand and overflow; `bench/hot_instances.py` draws who
  floods when, whose callers come to one instance, and which engines are lost.

  Scenario: In drawn histories no account that waits all through is short
    # Guards against an account that gets what one instance has time for: what that
    # does not read in time fails, while other instances are idle.
    When 4 random histories of instances with limited processor time are played
    Then no account was short of its part in any 6 seconds of them
    And at most 0.01 of the attempts were left unread until their callers left
