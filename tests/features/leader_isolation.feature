Feature: Isolation of the leading control host
  Runs real processes over links that can be cut. The other hosts must accept edits, the isolated
  leader must refuse requests, and no process may return to an older version.

  Scenario: A leader is isolated in either direction, in both, and suspended
    Given three control processes with links that can be cut, and three nodes
    When the links to the leader are cut
    Then the leader refuses with an error code, and an edit through the others is in force everywhere after healing
    When the links from the leader are cut
    Then the leader refuses with an error code, and an edit through the others is in force everywhere after healing
    When the links to and from the leader are cut
    Then the leader refuses with an error code, and an edit through the others is in force everywhere after healing
    When the leader's process is suspended
    Then the leader responds to a read only after it resumes, and never with an older version
    And no control host or node ever returned to an older version
