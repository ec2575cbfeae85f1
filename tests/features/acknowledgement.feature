Feature: Acknowledgement of a change of the document
  An acknowledged change must be in force at all nodes within seconds, also if the leader is lost right after it.

  # Guards against nodes that wait for an election: only the leader knew that the change was committed.
  Scenario Outline: A change is acknowledged once a quorum of control hosts has heard of its commit
    Given a leader whose round of heartbeats to a quorum <outcome>
    When a change arrives that <change>
    Then the change is accepted <when>

    Examples:
      | outcome          | change                | when                            |
      | takes 0.05 s     | replaces the document | 0.05 s after it was committed   |
      | takes 0.05 s     | changes a section     | 0.05 s after it was committed   |
      | never ends       | replaces the document | 0.3 s after it was committed    |
      | fails            | replaces the document | 0.0 s after it was committed    |

  Scenario: A change that isn't accepted needs no round
    Given a leader whose round of heartbeats to a quorum never ends
    When a change arrives that replaces the document on an outdated base
    Then the change is refused 0.0 s after it was proposed
