@fixture.wheatsheaf_fleet
Feature: Actions over real sockets
  An action runs at most once even if processes are killed. The stand-in backend servers count runs.

  Scenario: A resend to another node returns the stored response
    When an order "a1" is sent at node 0
    Then the order's response has status 200, outcome "ran" and 1 attempts
    When an order "a1" is sent at node 1
    Then the order's response has status 200, outcome "ran" and 0 attempts
    And both responses are identical and order "a1" ran 1 time

  Scenario: The same key with another body is refused
    When an order "b1" is sent at node 0
    And an order "b1" is sent at node 1 with another body
    Then the order's response has status 422 and code "key_reused"
    And order "b1" ran 1 time

  Scenario: Concurrent resends at two nodes run the order once
    Given the backend servers of orders take 1500 ms
    When an order "c1" is sent at nodes 0 and 1 at the same time
    Then both responses are identical and order "c1" ran 1 time
    And the backend servers of orders are healthy again

  Scenario: An action completes although its caller disconnects
    Given the backend servers of orders take 1500 ms
    When the caller of an order "l1" at node 0 disconnects while it runs
    And an order "l1" is sent at node 1
    Then the order's response has status 200, outcome "ran" and 0 attempts
    And order "l1" ran 1 time and was not cancelled
    And the backend servers of orders are healthy again

  Scenario: A stalled backend server leaves the outcome permanently unknown
    Given the backend servers of orders stall
    When an order "d1" is sent at node 0 with a deadline of 1500 ms
    Then the order's response has status 502 and code "outcome_unknown"
    Given the backend servers of orders are healthy again
    When an order "d1" is sent at node 1
    Then the order's response has status 502 and code "outcome_unknown"
    And order "d1" ran 1 time

  Scenario: A node is killed while its order runs
    Given the backend servers of orders take 2500 ms
    When an order "e1" is sent at node 0, which is killed while it runs
    And an order "e1" is sent at node 1
    Then the order's outcome is "ran" or "unknown"
    And order "e1" ran 1 time
    And the backend servers of orders are healthy again

  Scenario: The ledger's leader is killed
    When an order "f1" is sent at node 1
    And a control host is killed
    And an order "f1" is sent at node 1
    Then the order's outcome is "ran"
    And order "f1" ran 1 time
    When an order "f2" is sent at node 1
    Then the order's outcome is "ran"

  Scenario: Without a quorum no action is dispatched and reads continue
    Given another control host is killed
    When an order "g1" is sent at node 1
    Then the order's response has status 503 and code "ledger_unavailable"
    And the order's outcome is "unknown"
    And order "g1" ran 0 times
    And a read of recipes at node 1 has status 200
