Feature: Placement of the ledger groups
  Each group has three replicas, placed so that it survives the loss of any one failure domain.

  Scenario: Random fleets of control hosts
    When the groups of 300 random fleets of control hosts are placed
    Then no two replicas of a group share a failure domain if there are at least three domains
    And the placement doesn't depend on the order of the hosts

  Scenario: Balanced fleets get a balanced load, and a new host takes over few groups
    When groups are placed on all balanced fleets of up to 15 control hosts
    Then no host holds more than a quarter above the mean, rounded up
    And two replicas are in one region and one is in another, in all groups but two
    And a new host moves at most twice its share of the replicas and six more

  Scenario: Three control hosts hold every group
    When groups are placed on 3 control hosts
    Then each group has all 3 hosts

  Scenario: A group moves to other hosts by one membership change at a time
    When 300 groups of 3 hosts are placed on other hosts at random, while some lose their disks
    Then the voters of each group end up on exactly the hosts that it is placed on
    And each step changed at most one voter and left at least 3 voters, or as many as before
