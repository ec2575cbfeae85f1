Feature: Reports travel through a tree of relays
  The registry's leader gets a few batches per failure domain, not a call per host.

  Scenario: A chain of caches gives its readers all changes
    When 80 random sequences of changes pass through two caches to readers with random versions
    Then each reader's table equals the leader's, and no reader's version decreases

  Scenario: A failure domain of 137 hosts costs the leader a few calls per second
    Given 137 hosts of one failure domain whose leases last 5 s
    When they report for 20 s
    Then the leader gets at most 3 calls per second, and a report of each host within 4 s
    And every host has all 137 hosts

  Scenario: No host loses its lease when relays stop
    Given 137 hosts of one failure domain whose leases last 5 s
    When they report for 8 s, the two root hosts of the tree stop, and 16 s pass
    Then the registry has removed only the 2 stopped hosts
    And every running host has 135 hosts

  Scenario: The control hosts send few whole tables to a failure domain that starts all at once
    Given 137 hosts of one failure domain whose leases last 5 s
    When they report for 8 s
    Then the control hosts sent at most 2 whole tables, and each host at most 4
    And every host has all 137 hosts

  Scenario: The control hosts send the table if a host's peer can't be reached
    Given 137 hosts of one failure domain whose leases last 5 s
    And the other hosts can't reach the first host
    When they report for 16 s
    Then the control hosts sent at most 6 whole tables, and each host at most 4
    And every host has all 137 hosts

  Scenario: The control hosts send a table only to the host that the others' settings name as a peer
    Given 30 hosts of one failure domain whose settings name the first, which started earlier
    When they report for 8 s
    Then the control hosts sent at most 1 whole tables, and each host at most 29
    And every host has all 30 hosts
