Feature: Reports travel through a tree of relays
  The registry's leader gets a few batches per failure domain, not a call per host.

  Scenario: A chain of mirrors gives its readers what changed
    When 80 random histories pass through two mirrors to readers that know random versions
    Then each reader's table equals the leader's, and no reader goes back

  Scenario: A failure domain of 137 hosts costs the leader a few calls a second
    Given 137 hosts of one failure domain whose leases last 5 s
    When they report for 20 s
    Then the leader gets at most 3 calls a second, and hears each host within 4 s
    And every host knows all 137 hosts

  Scenario: Relays that die cost no host its lease
    Given 137 hosts of one failure domain whose leases last 5 s
    When they report for 8 s, the two hosts at the top of the tree die, and 16 s pass
    Then the registry has removed the 2 dead hosts only
    And every living host knows 135 hosts

  Scenario: A failure domain that starts at once takes few whole tables from the control hosts
    Given 137 hosts of one failure domain whose leases last 5 s
    When they report for 8 s
    Then at most 2 whole tables left the control hosts, and each host gave at most 4
    And every host knows all 137 hosts

  Scenario: Where the peer above can't be reached, the control hosts give the table after a while
    Given 137 hosts of one failure domain whose leases last 5 s
    And the first host can be reached by no other one
    When they report for 16 s
    Then at most 6 whole tables left the control hosts, and each host gave at most 4
    And every host knows all 137 hosts

  Scenario: Peers from the settings that have the table leave the control hosts none to give
    Given 30 hosts of one failure domain whose settings name the first one, which started before
    When they report for 8 s
    Then at most 1 whole tables left the control hosts, and each host gave at most 29
    And every host knows all 30 hosts
