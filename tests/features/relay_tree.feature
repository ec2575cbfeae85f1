Feature: Sources of a node's document
  Every host computes the same tree of its failure domain, and avoids sources that failed.

  Scenario Outline: Every host is below the control hosts, and no host serves many others
    Given a failure domain of <hosts> hosts
    Then the first sources of every host lead to the control hosts within <levels> steps
    And no host is watched by more than 10 others

    Examples:
      | hosts | levels |
      | 1     | 1      |
      | 2     | 1      |
      | 10    | 2      |
      | 42    | 3      |
      | 138   | 4      |

  Scenario: A host avoids sources that failed
    Given a failure domain of 42 hosts
    Then a host whose first source failed watches other hosts of the level above
    And a host watches the control hosts if all levels above it failed

  Scenario: A relay without contact to the control hosts is excluded
    Given a failure domain of 10 hosts
    Then a host excludes a relay that reports an age of 46 s, for 30 s

  Scenario: A starting host watches peers while the control hosts are down
    Given a failure domain of 1 hosts
    Then a host without a reachable control host watches the peers of its settings
