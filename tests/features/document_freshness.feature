Feature: Age of a source's last contact with a leader
  A control host without a leader reports a growing age, and with several sources the lowest counts.

  Scenario: The age that a control host reports grows without a leader
    Given a control host whose replica has contact with a leader
    When 30 s pass
    Then it reports an age of at most 2 s
    When its replica loses contact with the leader and 60 s pass
    Then it reports an age of at least 60 s
    When its replica has contact with a leader again and 2 s pass
    Then it reports an age of at most 2 s

  Scenario: A replica tracks its last contact with a leader or a quorum
    Given a replica that has just started
    Then it has had no contact
    When it receives a heartbeat at 5.0 s
    Then at 65.0 s its last contact was at 5.0 s
    When it becomes leader, and a quorum replies to heartbeats that it sent at 80.0 s
    Then at 85.0 s its last contact was at 80.0 s

  Scenario: The lowest age of several control hosts counts
    Given control hosts report ages of 400, 1 and 90 s to a relay
    Then it reports an age of at most 2 s
    And of equal versions it fetches from the control host with the age of 1 s

  Scenario: Nodes keep their relays while there is no leader
    Given a node whose relays report an age of 46 s
    Then it excludes these relays
    When a control host reports an age of 50 s to it, and 40 s pass
    Then it keeps relays that report an age of 90 s
    When a control host reports an age of 1 s to it
    Then it excludes a relay that reports an age of 46 s
