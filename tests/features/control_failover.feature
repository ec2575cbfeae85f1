Feature: Control processes fail over
  Runs real processes. Accepted changes must survive kill -9 of leaders and of all control hosts.

  Scenario: Two teams edit while leaders are killed
    Given the three control processes of the example site
    When two teams edit 8 times each while the leader is killed and restarted 2 times
    Then every edit was accepted and is still stored
    When all control processes are killed and started again
    Then every edit was accepted and is still stored

  Scenario: All control processes restart after many changes
    Given the three control processes of the example site
    When one team makes 100 changes
    And all control processes are killed and started again
    Then the last change is stored, and resent changes get their original responses
