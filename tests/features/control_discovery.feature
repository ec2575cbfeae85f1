Feature: Control hosts discover each other from seeds
  Hosts are simulated in virtual time. The settings of each host name three seeds by link address and
  say whether the fleet is new. Guards against two groups in one fleet, and against lost commits.

  Scenario Outline: A new fleet forms one group in any order of start
    Given 5 control hosts with 3 seeds
    When they start in order <order> within 0.3 s
    Then within 5 s one group has 5 voters

    Examples:
      | order     |
      | 0 1 2 3 4 |
      | 4 3 2 1 0 |
      | 3 4 0 1 2 |
      | 2 0 4 1 3 |
      | 1 3 0 4 2 |

  Scenario: Every order of start, with different random numbers
    When 120 fleets start, each in another order
    Then each has one group with 5 voters within 5 s

  Scenario: No group forms before all seeds have started
    Given 5 control hosts with 3 seeds
    When all but seed 1 start, and seed 1 starts 4 s later
    Then no group existed before seed 1 started
    And within 5 s one group has 5 voters

  # Guards against a fleet that never starts: only one seed formed the group, and none of the others
  # took its place once it had lost its disk.
  Scenario Outline: A seed that loses its disk before the group has formed doesn't keep it from forming
    Given 5 control hosts with 3 seeds
    When they start, and after <at_s> s seed <seed> loses its disk for 1.5 s
    Then within 5 s one group has 5 voters

    Examples:
      | seed | at_s |
      | 0    | 0.0  |
      | 0    | 0.05 |
      | 1    | 0.05 |
      | 2    | 0.05 |

  Scenario: One seed loses its disk at any moment of the first start
    When 300 fleets start, and in each a seed loses its disk within the first second
    Then each has one group with 5 voters within 5 s

  Scenario: Seeds that may all have belonged to a group form no second one
    Given 5 control hosts with 3 seeds
    When only the seeds start, and two of them lose their disks before the group has formed
    Then after 10 s there is no group

  Scenario: Empty hosts form no group if the settings say that the fleet isn't new
    Given 5 control hosts with 3 seeds
    When they start with empty disks and settings of a fleet that isn't new
    Then after 10 s there is no group

  Scenario: A permanently lost voter is replaced by a new host
    Given a group of 5 voters discovered from 3 seeds
    When voter 1 is lost permanently and an empty host with a new address starts
    Then within 12 s one group has 5 voters, the new host among them and voter 1 not

  Scenario: A partitioned voter stays in the group if there is no replacement
    Given a group of 5 voters discovered from 3 seeds
    When voter 1 is partitioned for 20 s
    Then it remains a voter throughout

  Scenario: A voter that was replaced during a partition becomes a member again
    Given a group of 5 voters discovered from 3 seeds
    When voter 1 is partitioned for 12 s while an empty host with a new address starts
    Then within 5 s after the partition voter 1 is a member again

  Scenario: A host joins although the only seed that it reaches is not the leader
    Given a group of 5 voters discovered from 3 seeds
    When host 3 is leader, and host 4 starts with an empty disk and reaches only seed 1 and host 3
    Then within 12 s one group has 5 running voters

  Scenario: A group recovers after two of its five disks are lost at once
    Given a group of 5 voters discovered from 3 seeds
    When 2 voters lose their disks right after a commit and start again
    Then the commit is kept and within 12 s one group has 5 voters

  Scenario: A leader that was suspended doesn't confirm its leadership by earlier replies
    Given a group of 5 voters discovered from 3 seeds
    When a leader suspended for 8 s must confirm its leadership by a heartbeat round
    Then another leader was elected meanwhile, and it never confirms
    But its lease alone would have confirmed it

  # Guards against a group that loses its quorum for good although each of its voters was replaced as
  # planned: a stopped host kept its vote until it had been silent for some seconds.
  Scenario Outline: Voters that are replaced as planned hand over their votes
    Given a group of 5 voters discovered from 3 seeds, and 3 learners
    When voters <order> stop as planned, one every <interval_s> s, and never come back
    Then each stop takes at most 3 s
    And within 5 s a command is committed, and the group has 5 running voters

    Examples:
      | order     | interval_s |
      | 2, 3 and 4 | 2.3       |
      | 0, 1 and 2 | 2.3       |
      | 4, 1 and 0 | 1.0       |
      | 1, 2 and 3 | 0.1       |

  Scenario: Two disks may be lost right after a planned replacement
    Given a group of 5 voters discovered from 3 seeds, and 1 learner
    When voter 1 stops as planned and never comes back, and 1 s later 2 other voters lose their disks
    Then the commit is kept and within 12 s one group has 5 voters

  Scenario: A voter that stops as planned without a successor keeps its vote
    Given a group of 5 voters discovered from 3 seeds
    When voter 1 stops as planned
    Then the stop takes at most 1 s
    And voter 1 is a voter of the group again when it has started

  Scenario: A voter that stops before its successor is ready is replaced at once afterwards
    Given a group of 5 voters discovered from 3 seeds
    When voter 1 stops as planned, and 0.3 s later an empty host with a new address starts
    Then within 2500 ms one group has 5 voters, the new host among them and voter 1 not

  Scenario: Planned replacements in any order, at any intervals, with different random numbers
    When 60 fleets replace three of their voters as planned, each at other times
    Then each commits a command and has 5 running voters within 5 s

  # Guards against a lost voter that keeps its vote for as long as leaders change every few seconds,
  # because each leader begins anew to count for how long it has been silent.
  Scenario: A lost voter is replaced although leaders change every few seconds
    Given a group of 5 voters discovered from 3 seeds, and 1 learner
    When voter 1 is lost permanently, and the leader restarts 3 times, once every 2.5 s
    Then within 2500 ms one group has 5 voters, the learner among them and voter 1 not

  Scenario: A voter that is back just before a change of leader keeps its vote
    Given a group of 5 voters discovered from 3 seeds, and 1 learner
    When voter 1 is down for 2.5 s, and the leader restarts 0.2 s after its return
    Then voter 1 is a voter of the group after 6 s

  # A host that was removed counts as lost only until its successor has run for 4 s.
  Scenario: Two disks may be lost 4 s after the successor of a lost voter has started
    Given a group of 5 voters discovered from 3 seeds
    When voter 1 is lost permanently and an empty host with a new address starts at once
    And 4 s later 2 other voters lose their disks
    Then the commit is kept and within 12 s one group has 5 voters

  # Guards against votes that stay with hosts that are about to go, while their successors have run
  # for long without one: three hosts that went within the time in which a silent voter counts as
  # lost took the quorum and the acknowledged changes along.
  Scenario Outline: Hosts whose successors have caught up are removed at any intervals
    Given a group of 5 voters discovered from 3 seeds, and <count> learners
    When voters <order> are removed without a stop, one every <interval_s> s, right after a commit
    Then the commit is kept and within 15 s one group has 5 voters

    Examples:
      | count | order          | interval_s |
      | 1     | 1              | 0.0        |
      | 2     | 0 and 1        | 0.0        |
      | 3     | 1, 2 and 3     | 1.0        |
      | 3     | 0, 1 and 2     | 0.0        |
      | 3     | 4, 3 and 2     | 0.3        |
      | 4     | 4, 2, 1 and 0  | 0.0        |
      | 5     | 0, 1, 2, 3, 4  | 0.0        |
      | 5     | 4, 3, 2, 1, 0  | 1.0        |

  Scenario Outline: Removals at random, with different random numbers
    When 60 fleets have successors <domains>, and remove as many hosts at random intervals
    Then each keeps its commits and has one group of 5 running voters within 15 s

    Examples:
      | domains                                      |
      | of the same failure domains                  |
      | of other failure domains                     |
      | that are all of one failure domain           |
      | of failure domains that aren't known         |

  # Guards against a successor that gives its vote to another one: of two successors in a failure
  # domain that had no host before, or that caught up in another order than they joined.
  Scenario Outline: Removals in fleets that lost their group in a run by hand
    When fleet <seed> has successors <domains>, and removes as many hosts at random intervals
    Then each keeps its commits and has one group of 5 running voters within 15 s

    Examples:
      | seed | domains                            |
      | 1338 | of other failure domains           |
      | 1080 | that are all of one failure domain |
      | 1326 | that are all of one failure domain |

  # A host whose successor has run for 4 s no longer counts as lost: two more may be.
  Scenario: Two disks may be lost at the moment in which hosts with ready successors are removed
    When 60 fleets have successors of the same failure domains, and remove them while two disks are lost
    Then each keeps its commits and has one group of 5 running voters within 15 s

  Scenario: Some hosts stop as planned and others are removed without a stop
    When 40 fleets have successors of other failure domains, and stop or remove as many hosts
    Then each keeps its commits and has one group of 5 running voters within 15 s

  Scenario: An earlier voter that still runs gets its vote back when its successor is lost
    Given a group of 5 voters discovered from 3 seeds, and 2 learners
    When both successors are removed without a stop, right after a commit
    Then the commit is kept and within 15 s one group has 5 voters

  Scenario: Votes don't move once each successor has one
    Given a group of 5 voters discovered from 3 seeds, and 5 learners
    When the group runs on for 20 s with the same hosts
    Then the successors are the voters, and the membership hasn't changed in that time

  # Guards against a host whose two latest members replace each other over and over, because the
  # announcement of the earlier one still counts.
  Scenario: A host that loses its disk while it joins is added as its new member
    Given a group of 5 voters discovered from 3 seeds
    When an empty host with a new address starts, loses its disk 0.3 s later and starts again
    Then after 3 s only its new member is in the group, with a vote that one earlier voter gave up
    And the membership has changed at most 6 times

  # Guards against a learner that is added and removed over and over until it replies, because its
  # silence was counted from the start of the leadership.
  Scenario: A learner that the leader can't reach at first is added once
    Given a group of 5 voters discovered from 3 seeds
    When 6 s later an empty host with a new address starts, which the leader reaches after 2 s only
    Then after 2 s only its new member is in the group, with a vote that one earlier voter gave up
    And the membership has changed at most 3 times
