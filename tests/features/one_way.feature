Feature: One-way partitions between processes
  Runs real processes: a link that fails in one direction must not cause an ejection, and no front may use
  fewer targets than its floor.

  Scenario Outline: One direction of a node's links fails
    Given a running Wheatsheaf fleet whose links with "node-alta-1" can be cut
    # A node that is redirected to the leader calls it by an address that isn't in its settings.
    And the registry is led by another control host than "control-1"
    When the direction "<direction>" is cut while callers read from the other nodes
    Then within 60 s <effect>
    And 100 further requests to the other nodes all succeed
    When all directions are restored
    Then within 60 s every node has all hosts again and avoids none
    And no front ejected a target at any time, and each kept its floor

    Examples:
      | direction         | effect                                                    |
      | to the agent      | the other fronts avoid the node's host                    |
      | from the agent    | the other fronts avoid the node's host                    |
      | to the registry   | the registry and the other fronts no longer have the host |
      | from the registry | the node has lost contact with the registry, and all stay |
