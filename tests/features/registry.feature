Feature: Registry of hosts
  Only changes go through the replicated log; lease renewals stay in the leader's memory.

  Scenario: A reader of deltas always has the leader's table
    When 60 random sequences of changes are applied and read by deltas from random versions
    Then each reader's table equals the leader's, and small changes result in small deltas

  Scenario: A restored snapshot has the same table and the same deltas
    When 30 random sequences of changes are applied, snapshotted and restored
    Then the restored registry returns the same table and the same deltas

  Scenario: An older record never replaces a newer one
    Given a registry with the record of a host with incarnation 5 and sequence 7
    Then a record with incarnation 4 and sequence 99 changes nothing
    And a record with incarnation 5 and sequence 7 changes nothing
    And a removal for sequence 6 changes nothing
    And a removal for sequence 7 removes the host, and the same record adds it again

  Scenario: A host that reports from another host's address replaces that host immediately
    Given a registry with host "a" at "10.0.0.1:7" and host "b" at "10.0.0.2:7"
    When host "c" reports from "10.0.0.1:7" with an earlier clock
    Then hosts "b, c" are present, and a reader's delta contains the removal of "a"
    When the registry is restored from a snapshot and host "d" reports from "10.0.0.1:7"
    Then hosts "b, d" are present, and a reader's delta contains the removal of "c"

  Scenario: A restarted host keeps its targets in the registry until they have had time to announce themselves
    Given an agent that has just restarted and a registry with its target from before the restart
    When 1.5 s pass without an announcement
    Then the registry still has the target
    When the target announces itself and 1.0 s pass
    Then the registry has the target with the new incarnation
    Given an agent that has just restarted and a registry with its target from before the restart
    When 3.0 s pass without an announcement
    Then the registry has the host without targets

  Scenario: Lease renewals write nothing to the log
    Given a registry service with a log that counts its commands
    When 20 hosts report once in full and then 30 times by renewal
    Then the log holds at most 20 commands and all 20 hosts are present

  Scenario: Hosts that stop reporting expire, unless many stop at once
    Given a registry service with a log that counts its commands
    When 20 hosts report, and 4 of them stop for 10 s
    Then 16 hosts are present and none is held
    When 12 more stop for 60 s
    Then 16 hosts are present and 12 are held
    When all hosts report again
    Then 20 hosts are present and none is held

  Scenario: A new leader grants full leases before it expires a host
    Given a registry service with a log that counts its commands
    When 20 hosts report, and leadership is lost for 60 s and regained
    Then no host expires within 4 s, and a host without reports has expired after 8 s

  Scenario: A busy log neither drops nor extends a lease
    Given a registry service with a log that counts its commands
    When 20 hosts report, one stops, and the log is busy for 3 s
    Then 19 hosts are present and none is held

  Scenario: After a storm of 2,500 agent restarts each host is present with its latest incarnation
    Given a registry service with a log that counts its commands
    When 100 hosts restart 25 times each, with old reports arriving late
    Then 100 hosts are present with their 25th incarnation

  Scenario: The registry is unreachable for hours and has changes afterwards
    Given a front that follows a registry of 12 hosts
    When the registry is unreachable for 4 hours
    Then the front still has 12 hosts and the registry is marked as unreachable
    When the registry becomes reachable with 2 hosts removed and 3 added
    Then the front has 13 hosts

  Scenario: A registry that lost its state doesn't empty a front's target table
    Given a target table with 10 hosts
    When an empty whole table arrives
    Then the target table has 10 hosts
    When the registry reports 9 of the hosts again, and 15 s pass
    Then the target table has 9 hosts

  Scenario: A whole table without a few hosts removes these hosts immediately
    Given a target table with 10 hosts
    When a whole table without 2 of the hosts arrives
    Then the target table has 8 hosts

  Scenario: Hosts that never report to a reset registry are removed after ten minutes
    Given a target table with 10 hosts
    When an empty whole table arrives
    And the target table waits 599 s
    Then the target table has 10 hosts
    When the target table waits 2 s
    Then the target table has 0 hosts

  Scenario: Departures of targets are kept while their host is gone, and over a snapshot
    Given a registry service that records departures
    When target "t" of host "h1" leaves with start 7 and sequence 3, and then with sequence 2
    And host "h1" is removed, and the registry is restored from its snapshot
    Then a restarted node of host "h1" reads the departure of "t" with start 7 and sequence 3
    And a restarted node of host "h2" reads no departure

  Scenario: Departures are bounded for each host and in all
    When targets of 10,050 hosts leave, and then 40 targets of one more host
    Then the registry keeps the latest 16 of that host, and 10,000 hosts

  # Guards against a drain that ends with the process of the drained host.
  Scenario: Drains of operators are kept until they end, and over a snapshot
    Given a registry service that records departures
    When operators drain target "t" and all of host "h1", and target "u" whose drain ends again
    And host "h1" is removed, and the registry is restored from its snapshot
    Then a restarted node of host "h1" reads that "t" and the whole host are drained
    And a restarted node of host "h2" reads no departure

  Scenario: A drain is recorded by the registry's leader only
    Given a registry service that records departures
    When operators drain a target at a control host that isn't the leader
    Then it is refused with "not_leader", and nothing is recorded

  Scenario: A departure is neither recorded nor read at a control host that isn't the leader
    Given a registry service that records departures
    When a departure is recorded and read while "b" is the leader
    Then both replies have the leader's link address, and nothing is recorded

  Scenario: A departure with a number out of range is refused
    Given a registry service that records departures
    When a departure with sequence 2^63 is recorded
    Then it is refused with "announcement_invalid", and nothing is recorded

  Scenario: A control host that isn't the leader replies with the leader's address
    Given a registry service with a log that counts its commands
    When a host reports to the service while "b" is the leader
    Then the reply has the leader's link address, and no host is recorded

  Scenario: A node that has no address of the leader is redirected
    When a node reports to control host "a", which redirects it to the leader "b"
    Then "b" receives the report, and the next report goes to "b" directly
