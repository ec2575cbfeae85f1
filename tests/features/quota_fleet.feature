Feature: Quotas in a running fleet
  Real processes: a workspace sends twice its quota to two nodes while the control host that grants credit is lost.

  # Guards against a leader that wakes and grants beside its successor, and against fronts that use credit late.
  Scenario Outline: The leading control host is lost while a workspace uses its quota
    Given a fleet in which workspace "acme" has a quota of 20 per s and a burst of 20
    When "acme" sends 20 per s to each of 2 nodes for 16 s, and the leading control host is <fault> after 5 s
    Then in any 5 s at most 152 requests of "acme" that were sent in it have run
    And every request that did not run got 429, the outcome "not-run" and a delay
    And "acme" is served 15 per s in the last 5 s, and at most 25 per s
    And the nodes logged that the quota was spent, and that control was lost and reached again
    And a workspace without a quota was served all the time

    Examples:
      | fault          |
      | paused for 4 s |
      | killed         |
