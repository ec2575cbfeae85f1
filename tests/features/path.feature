@fixture.wheatsheaf_fleet
Feature: Path of a request through front, agent and backend server
  Callers get the complete responses of backend servers, and errors with a code for requests that can't
  be served.

  Scenario Outline: Every node serves every service
    When a caller requests "/bread/3?people=40" of "<host>" from each node
    Then each response is complete and for "/bread/3"
    And each response has outcome "ran" and 1 attempts

    Examples:
      | host                       |
      | recipes.wheatsheaf.example |
      | scaler.wheatsheaf.example  |
      | orders.wheatsheaf.example  |

  Scenario: The backend server receives the remaining time until the deadline
    When a caller requests "/bread" of "recipes.wheatsheaf.example" with header "Samphire-Deadline-Ms" "1500"
    Then the response has status 200
    And the backend server received a deadline of at most 1500 ms

  Scenario: A long response is complete
    When a caller requests "/bread" of "recipes.wheatsheaf.example" with header "X-Answer-Bytes" "3000000"
    Then the response has status 200
    And the response has at least 3000000 bytes

  Scenario: Concurrent requests get their own responses
    When 200 concurrent requests with different echo values are sent to all nodes
    Then each response has the echo value of its request

  Scenario Outline: A request that can't be served gets an error with a code
    When a caller sends "<request>"
    Then the response has status <status> and code "<code>"
    And the response contains no traceback

    Examples:
      | request              | status | code              |
      | garbage              | 400    | malformed_request |
      | no host              | 400    | malformed_request |
      | two content lengths  | 400    | malformed_request |
      | oversize headers     | 400    | malformed_request |
      | oversize body        | 413    | body_too_large    |
      | unknown host         | 404    | no_route          |
      | method not routed    | 404    | no_route          |
      | expired deadline     | 504    | deadline_expired  |
      | malformed deadline   | 400    | malformed_request |
      | malformed key        | 400    | malformed_request |

  Scenario Outline: Invalid bytes on the link and local ports leave no connections behind
    Given the node's open connections and file descriptors are counted
    When 20 peers send "<bytes>" to the "<port>" port of a node
    Then the node still serves callers
    And the node has closed the connections of these peers

    Examples:
      | bytes             | port         |
      | garbage           | link_listen  |
      | truncated preface | link_listen  |
      | truncated frame   | link_listen  |
      | wrong type        | link_listen  |
      | garbage           | local_listen |
      | truncated head    | local_listen |

  Scenario Outline: A malformed announcement gets an error with a code
    When a backend server announces <announcement>
    Then the response has status 400 and code "announcement_invalid"

    Examples:
      | announcement                                                   |
      | {"service": "recipes"}                                         |
      | {"service": "recipes", "address": "127.0.0.1:1", "slot": 2}    |
      | {"service": "recipes", "address": "nowhere"}                   |
      | {"service": "recipes", "address": "127.0.0.1:1", "slots": "2"} |
      | nonsense                                                       |
