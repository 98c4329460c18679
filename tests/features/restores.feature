Feature: A store that is restored from an older copy

  The store gives out revisions again that it gave out before, and lacks what was
  written since the copy until it is written again.

  Scenario: A change whose revision was given out before is applied
    # Guards against dropping changes of a restored store. Their revisions are not
    # above those that an instance knows, which then sent requests to a server that
    # was leaving until the counter had passed its own.
    Given an instance on the platform with a plain server in each of the failure domains "a" and "b"
    And a copy of the store, after which 3 versions were written
    When the store is restored from the copy, and 5 changes follow, the first of which says that "plain-a" leaves
    Then the instance knows that "plain-a" leaves
    When 12 requests for "/open/x" come one after the other
    Then each is answered 200
    And the servers in "a" received no request
