Feature: Registry of hosts
  Only changes go through the replicated log; renewals stay in the leader's memory.

  Scenario: A follower of deltas always holds the leader's table
    When 60 random histories of hosts are applied and followed by deltas from random versions
    Then each follower's table equals the leader's, and small changes come as small deltas

  Scenario: A snapshot restores the same table and the same deltas
    When 30 random histories are snapshotted and restored
    Then the restored registry gives the same table and the same deltas

  Scenario: Old news never overtakes newer news
    Given a registry that knows a host with incarnation 5 and number 7
    Then a record with incarnation 4 and number 99 changes nothing
    And a record with incarnation 5 and number 7 changes nothing
    And a removal after number 6 changes nothing
    And a removal after number 7 removes it, and the same record brings it back

  Scenario: A host that comes to another one's address takes its place at once
    Given a registry that knows host "a" at "10.0.0.1:7" and host "b" at "10.0.0.2:7"
    When host "c" reports from "10.0.0.1:7" with an earlier clock
    Then hosts "b, c" are present, and a reader's delta tells that "a" is gone
    When the registry is restored from a snapshot and host "d" reports from "10.0.0.1:7"
    Then hosts "b, d" are present, and a reader's delta tells that "c" is gone

  Scenario: A host that starts again keeps its targets until it knows them
    Given an agent that has just started and a registry that knows its target of before
    When 1.5 s pass without an announcement
    Then the registry still has the target
    When the target announces itself and 1.0 s pass
    Then the registry has the target with the new incarnation
    Given an agent that has just started and a registry that knows its target of before
    When 3.0 s pass without an announcement
    Then the registry has the host without targets

  Scenario: Renewals write nothing to the log
    Given a registry keeper over a log that counts its commands
    When 20 hosts report once in full and then 30 times by renewal
    Then the log holds at most 20 commands and all 20 hosts are present

  Scenario: Hosts that stop reporting expire, but not many at once
    Given a registry keeper over a log that counts its commands
    When 20 hosts report, and 4 of them stop for 10 s
    Then 16 hosts are present and none is held
    When 12 more stop for 60 s
    Then 16 hosts are present and 12 are held
    When all hosts report again
    Then 20 hosts are present and none is held

  Scenario: A new leader grants whole leases before it expires a host
    Given a registry keeper over a log that counts its commands
    When 20 hosts report, and the lead is lost for 60 s and regained
    Then no host expires within 4 s, and a silent one has expired after 8 s

  Scenario: A busy log takes no host's lease away and prolongs none
    Given a registry keeper over a log that counts its commands
    When 20 hosts report, one stops, and the log is busy for 3 s
    Then 19 hosts are present and none is held

  Scenario: A restart storm of 2,500 agents keeps each host present with its latest incarnation
    Given a registry keeper over a log that counts its commands
    When 100 hosts restart 25 times each, with old reports arriving late
    Then 100 hosts are present with their 25th incarnation

  Scenario: The registry is away for hours, then back with news
    Given a front that follows a registry of 12 hosts
    When the registry is unreachable for 4 hours
    Then the front still knows 12 hosts and its lease is not acknowledged
    When the registry comes back with 2 hosts gone and 3 new ones
    Then the front knows 13 hosts

  Scenario: A registry that was reset empties no front's table
    Given a target table that knows 10 hosts
    When an empty whole table comes
    Then the target table still knows 10 hosts
    When the registry tells of 9 of them again, and 15 s pass
    Then the target table still knows 9 hosts

  Scenario: A whole table in which few hosts are missing is taken as it is
    Given a target table that knows 10 hosts
    When a whole table without 2 of them comes
    Then the target table still knows 8 hosts

  Scenario: Hosts that a reset registry never hears of again leave at last
    Given a target table that knows 10 hosts
    When an empty whole table comes
    And the target table waits 599 s
    Then the target table still knows 10 hosts
    When the target table waits 2 s
    Then the target table still knows 0 hosts

  Scenario: A control host that doesn't lead names the leader
    Given a registry keeper over a log that counts its commands
    When a host reports to it while "b" leads
    Then it is told the leader's link address, and nothing is renewed

  Scenario: A node that knows only control hosts that don't lead
    When a node reports that knows control host "a" alone, and "a" names "b", which leads
    Then "b" has the report, and the next one goes to "b" at once
