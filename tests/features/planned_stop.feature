@fixture.wheatsheaf_fleet
Feature: Planned stop of a node
  A node that is asked to stop completes the requests in flight and exits with status 0.

  Scenario: Requests in flight at the stopping node's front and agent complete
    Given the backend servers respond after 1500 ms
    When 12 callers send reads to all nodes at the same time and one node is asked to stop
    Then all callers receive complete responses
    And the stopped node exits with status 0

  Scenario: A stopping node serves new requests and closes their connections
    When a node is asked to stop and a caller then sends it a read
    Then the caller receives a complete response that closes the connection
    And the stopped node exits with status 0

  # Guards against requests that end with an internal error, or none, at the end of a stop.
  Scenario Outline: A stopping node tells the callers of requests that it can't complete
    Given a node that gives requests in flight 1.5 s when it stops
    And the backend servers don't respond
    When the node is asked to stop 500 ms after a caller sent it <request>
    Then the caller receives status <status>, code "node_stopping" and outcome "unknown"
    And the stopped node exits with status 0

    Examples:
      | request              | status |
      | an action            | 503    |
      | an action with a key | 503    |

  Scenario: A disconnecting caller's request is cancelled without a logged error
    Given the backend servers respond after 1500 ms
    When a caller disconnects 200 ms after sending a read
    Then the backend servers count 1 cancelled request
    And no node has logged an error

  # Guards against backend servers that nobody reaches while their node does nothing but close its own endpoints.
  Scenario: A stopping node ends soon after its last attempt
    When a node without requests is asked to stop
    Then at most 0.4 s pass between its log lines "host_drained" and "node_stopped"
    And the stopped node exits with status 0
