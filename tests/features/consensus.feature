Feature: Consensus of a replicated group
  Committed entries are never lost or changed, whatever faults occur, and in any order.

  Scenario: A group stays safe under random faults, and recovers from them
    When hypothesis runs a simulated group through random faults
    Then no check failed

  Scenario: A group that moves to other hosts among random faults stays safe and completes the move
    When hypothesis runs a simulated group through random faults and moves it to other hosts
    Then no check failed

  Scenario: A vote is sent only after it is synced
    Given a follower in term 3 with 4 entries of term 2
    When "b" requests a vote in term 4
    Then the replica has sent no vote
    And after its writes are synced the replica has sent a vote to "b"

  Scenario: A replica grants one vote in a term
    Given a follower in term 3 with 4 entries of term 2
    When "b" requests a vote in term 4
    And "c" requests a vote in term 4
    Then after its writes are synced the replica has sent a vote to "b"

  Scenario: An entry that is overwritten by another one no longer counts as synced
    Given a follower in term 3 with 4 entries of term 2
    When the leader "c" of term 3 sends another entry 4
    Then the reply to a heartbeat of "c" has the match index 3
    And after its writes are synced the reply to a heartbeat of "c" has the match index 4

  Scenario: An entry of an earlier term commits only with an entry of the current term
    Given a follower in term 3 with 4 entries of term 2
    And the replica is elected in term 4
    When follower "b" has synced up to entry 4
    Then nothing is committed
    When follower "b" has synced up to entry 5
    Then 5 entries are committed

  Scenario: A replica with recent leader contact grants no vote while the leader's lease may be valid
    Given a follower in term 3 with 4 entries of term 2
    And the replica receives a heartbeat of the leader "c" at 5.0 s
    When "b" requests a pre-vote and a vote in term 4 at 5.9 s
    Then the replica grants neither and stays in term 3
    When "b" requests a pre-vote and a vote in term 4 at 6.1 s
    Then the replica grants the pre-vote

  Scenario: A restarted replica grants no vote while a lease that it confirmed before may be valid
    Given a follower in term 3 with 4 entries of term 2
    When "b" requests a pre-vote and a vote in term 4 at 0.9 s
    Then the replica grants neither and stays in term 3
    When "b" requests a pre-vote and a vote in term 4 at 1.1 s
    Then the replica grants the pre-vote

  Scenario: In a group without lease reads, a restarted replica votes and is elected at once
    Given a follower in term 3 with 4 entries of term 2 in a group without lease reads
    When "b" requests a pre-vote and a vote in term 4 at 0.0 s
    Then the replica grants the pre-vote and the vote
    When the replica restarts and receives no message
    Then the replica requests pre-votes within 0.6 s, and again within 0.6 s
    When the replica restarts and receives a heartbeat of the leader "c" at 0.1 s
    Then the replica requests no pre-vote before 1.1 s

  Scenario: A late snapshot doesn't drop the entries that follow it
    Given a follower in term 3 with 4 entries of term 2
    When the leader "c" of term 3 sends a snapshot up to entry 2
    Then the last entry is 4 and 2 entries are committed

  Scenario: A replacement is promoted only after it has caught up and the lost member has left
    Given a leader of "a", "b" and "c" that has committed 9 entries, and "d" as a learner for "c"
    When "d" has synced 8 entries
    Then no change of the membership is due
    When "d" has synced 9 entries
    Then the next change removes "c"
    And the change after that makes "d" a voter

  Scenario: Loading files with any damage gives a valid state or a coded error
    When hypothesis damages the files of a replica
    Then each load gave a prefix of the written entries or "log_corrupt"

  Scenario: A damaged log is quarantined and its replica returns as a new member
    When the last synced record of a replica is damaged
    Then the replica opens empty as a member that may not form a group, and the damaged files are kept

  Scenario: A record header that a crash left incomplete is truncated, even with zeros after it
    When a record is followed by each beginning of a header and zeros up to 40 bytes
    Then the record is read and the rest is truncated

  # Guards against a group that refuses changes for good after the disks of its hosts were full, never two at once.
  Scenario: Disks that are full one after another leave the group able to commit
    When the disk of each of 5 hosts is full for 3 s in turn, twice, in 20 groups under load
    Then each group commits afterwards, and all its hosts have the same lines

  # Guards against acknowledged entries that only the page cache of a killed process had held.
  Scenario: Entries that a process hadn't synced when it was killed survive a loss of power once its successor has loaded them
    Given a replica that was killed after it had written entry 3 and before it synced it
    When its successor loads the log, and the host loses power
    Then the entries that it had loaded are still there
