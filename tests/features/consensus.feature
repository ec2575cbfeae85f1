Feature: Consensus of a replicated group
  What is committed is never lost or changed, whatever fails and whenever.

  Scenario: Random faults keep the group safe, and it recovers from them
    When hypothesis runs a simulated group through random faults
    Then no check failed

  Scenario: A group that is placed on other hosts among faults stays safe and gets there
    When hypothesis runs a simulated group through random faults and places it on other hosts
    Then no check failed

  Scenario: A vote leaves only after it is synced
    Given a follower in term 3 with 4 entries of term 2
    When "b" asks for its vote in term 4
    Then it has sent no vote
    And after its writes are synced it has sent a vote to "b"

  Scenario: A replica votes once in a term
    Given a follower in term 3 with 4 entries of term 2
    When "b" asks for its vote in term 4
    And "c" asks for its vote in term 4
    Then after its writes are synced it has sent a vote to "b"

  Scenario: An entry that another one takes the place of no longer counts as synced
    Given a follower in term 3 with 4 entries of term 2
    When the leader "c" of term 3 sends another entry 4
    Then a heartbeat of "c" is answered with entry 3
    And after its writes are synced a heartbeat of "c" is answered with entry 4

  Scenario: An entry of an earlier term commits only with one of the own term
    Given a follower in term 3 with 4 entries of term 2
    And it is elected in term 4
    When follower "b" has synced up to entry 4
    Then nothing is committed
    When follower "b" has synced up to entry 5
    Then 5 entries are committed

  Scenario: A replica that heard a leader keeps the leader's lease
    Given a follower in term 3 with 4 entries of term 2
    And it hears the leader "c" at 5.0 s
    When "b" asks for its vote and its pre-vote in term 4 at 5.9 s
    Then it grants neither and stays in term 3
    When "b" asks for its vote and its pre-vote in term 4 at 6.1 s
    Then it grants the pre-vote

  Scenario: A restarted replica keeps the lease that it may have confirmed before
    Given a follower in term 3 with 4 entries of term 2
    When "b" asks for its vote and its pre-vote in term 4 at 0.9 s
    Then it grants neither and stays in term 3
    When "b" asks for its vote and its pre-vote in term 4 at 1.1 s
    Then it grants the pre-vote

  Scenario: Where no answer relies on a lease, a restarted replica votes and is elected at once
    Given a follower in term 3 with 4 entries of term 2, whose group uses no lease
    When "b" asks for its vote and its pre-vote in term 4 at 0.0 s
    Then it grants the pre-vote and the vote
    When it starts again and hears nobody
    Then it asks for pre-votes within 0.6 s, and again within 0.6 s
    When it starts again and hears the leader "c" at 0.1 s
    Then it asks for no pre-vote before 1.1 s

  Scenario: A late snapshot keeps the entries that follow it
    Given a follower in term 3 with 4 entries of term 2
    When the leader "c" of term 3 sends a snapshot up to entry 2
    Then its last entry is 4 and 2 entries are committed

  Scenario: A replacement is promoted only after it has caught up and the lost member has left
    Given a leader of "a", "b" and "c" that has committed 9 entries, and "d" as a learner for "c"
    When "d" has synced 8 entries
    Then no change of the membership is due
    When "d" has synced 9 entries
    Then the next change removes "c"
    And the change after that makes "d" a voter

  Scenario: Any bytes in the files of a log give state or a coded error
    When hypothesis damages the files of a replica
    Then each load gave a prefix of the written entries or "log_corrupt"

  Scenario: A damaged log is set aside and its replica comes back as another member
    When the last synced record of a replica is damaged
    Then it opens empty as a member that may not form a group, and the files are kept

  Scenario: A header that a crash left unfinished is cut, whatever zeros follow it
    When a record is followed by each beginning of a header and zeros up to 40 bytes
    Then the record is read and the rest is cut
