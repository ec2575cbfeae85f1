Feature: Ledger groups on some of the control hosts
  Each group has three replicas in three failure domains; claims survive the loss of any one domain.

  Scenario: Claims continue after the loss of a failure domain
    Given 6 control hosts in 3 failure domains with 4 ledger groups
    When 40 actions are claimed and ended
    Then each host runs only the groups that are placed on it, and each group runs on 3 hosts
    When all hosts of one failure domain stop
    And 40 actions are claimed and ended
    Then the groups' leaders have recorded all 80 actions

  Scenario: A host is replaced by one with another name
    Given 6 control hosts in 3 failure domains with 4 ledger groups
    When 40 actions are claimed and ended
    And one host is lost permanently, and the others restart with a new host in its place
    Then each group moves to the hosts that it is placed on
    And the groups' leaders have recorded all 40 actions
    When 20 actions are claimed and ended
    And a second failure domain is lost
    And 20 actions are claimed and ended
    Then the groups' leaders have recorded all 80 actions

  Scenario: A second replica is lost right after the repair of a first one
    Given 5 control hosts in 5 failure domains with 2 ledger groups
    When 40 actions are claimed and ended
    And a replica of each group loses its disk and is repaired
    And another replica of each group stops permanently right afterwards
    And 40 actions are claimed and ended
    Then the groups' leaders have recorded all 80 actions

  Scenario: The failure domains of all hosts change at once
    Given 6 control hosts in 3 failure domains with 4 ledger groups
    When 40 actions are claimed and ended
    And all hosts restart in other failure domains
    Then each group moves to the hosts that it is placed on
    And the groups' leaders have recorded all 40 actions

  Scenario: A group isn't formed while one host computes another placement
    Given 4 hosts with empty disks, of which one places a group on other hosts
    When they run for 60 s of virtual time
    Then no host has formed the group

  Scenario: A group isn't formed before each host has reported that it never held a replica
    Given 4 hosts with empty disks that place a group on 3 of them
    When they run for 60 s of virtual time while the host without a replica is down
    Then no host has formed the group
    When they run for 10 s of virtual time
    Then one host has formed the group with these 3 hosts

  Scenario: A redirected front calls the leader first the next time
    Given a front with the addresses of 15 control hosts
    When the first host redirects the front to the leader of a group
    Then the front tries that leader first for each workspace of the group
    And the front tries the hosts of the group next, and each host once
