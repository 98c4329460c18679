Feature: An account gets its part also where single instances lack time

  A load balancer sends all callers of an account to one instance. In virtual time,
  with the real placement, demand and overflow; `bench/hot_instances.py` draws who
  floods when, whose callers come to one instance, and which engines are lost.

  Scenario: In drawn histories no account that waits all through is short
    # Guards against an account that gets what one instance has time for: what that
    # does not read in time fails, while other instances are idle.
    When the random histories 1 to 4 of instances with limited processor time are played
    Then no account was short of its part in any 6 seconds of them
    And at most 0.01 of the attempts were left unread until their callers left

  Scenario: An account is not refused for a flood that comes to the same instance
    # Guards against connections that are refused unread in proportion to who brings
    # most: a small account beside a flooding one got nothing for seconds.
    When the random histories 16 to 17 of instances with limited processor time are played
    Then no account was short of its part in any 6 seconds of them

  Scenario: Hosts with few connections are accepted beside one that floods
    # Guards against the same, at one instance.
    Given an instance that is behind, to which "flood" brings 100 connections and "few" 5
    Then it refuses a connection from "flood"
    But it accepts a connection from "few"
    When it is behind by three times as much
    Then it refuses a connection from "few"

  Scenario: The hosts that are counted are bounded
    # Guards against memory that grows with the number of callers.
    Given an instance that is behind, to which 10000 hosts bring a connection each
    Then it counts at most 4097 hosts
