@fixture.wheatsheaf_fleet
Feature: Outcomes over real sockets
  The behaviour of backend servers and callers on their connections leads to the correct outcome.

  Scenario: Requests to a shedding target are served by another target
    Given the targets of "recipes" on the first node's host are "overloaded"
    When a caller reads 20 times from "recipes.wheatsheaf.example" at the first node
    Then each response is complete with outcome "ran"
    And no target that is "overloaded" ran a request

  Scenario: A response that is cut off within the replay buffer is retried
    Given the targets of "orders" on the first node's host are "cutting"
    When a caller reads 3 times from "orders.wheatsheaf.example" at the first node
    Then each response is complete with outcome "ran"
    And at least one response took several attempts

  Scenario: A wrong response to a read is retried
    Given the targets of "scaler" on the first node's host are "wrong"
    When a caller reads 1 times from "scaler.wheatsheaf.example" at the first node
    Then each response is complete with outcome "ran"
    And at least one response took several attempts

  Scenario: A response that is cut off beyond the replay buffer aborts the caller's connection
    Given all targets of "recipes" are "cutting"
    When a caller reads 3000000 bytes from "recipes.wheatsheaf.example" at the first node
    Then the caller detects that the response is cut off

  Scenario: A read is cancelled at the backend server when its caller disconnects
    Given all targets of "recipes" are "stalling"
    When a caller of "recipes.wheatsheaf.example" disconnects after 500 ms
    Then every started request of "recipes" is cancelled at its target

  Scenario: The slower attempt of a hedged read is cancelled at its target
    Given the targets of "recipes" on the first node's host are "stalling"
    When a caller reads 3 times from "recipes.wheatsheaf.example" at the first node
    Then each response is complete with outcome "ran"
    And at least one response took several attempts
    And every started request of "recipes" is cancelled at its target

  Scenario: Double load over real sockets
    Given all targets of "recipes" take 800 ms
    When 40 interactive and 80 helper callers send to 60 slots until 100 helpers were refused
    Then helpers were refused first, each with its reason, outcome "not-run" and a retry delay

  Scenario Outline: An action that a backend server rejects
    Given all targets of "orders" are "<mode>"
    When a caller posts a kit order with a deadline of 900 ms
    Then the response has outcome "<outcome>" and status <status> after <attempts> attempt

    Examples:
      | mode             | outcome | status | attempts |
      | shedding         | not-run | 429    | 1        |
      | shedding_untyped | unknown | 503    | 1        |
      | shedding_cut     | unknown | 502    | 1        |

  # Guards against a status that is none: a caller would take it for the target's response, and a refusal in its body for proof that nothing ran.
  Scenario Outline: A status that is none never reaches a caller
    Given the targets of "<service>" on the first node's host send <response> with status "<status>"
    When a caller reads 1 times from "<service>.wheatsheaf.example" at the first node
    Then each response is complete with outcome "ran"
    And at least one response took several attempts

    # The reads of the scenarios before leave enough of these services' retry budgets.
    Examples:
      | status | response       | service |
      | 000    | a body         | recipes |
      | 600    | a chunked body | scaler  |

  Scenario Outline: An action whose response has a status that is none
    Given all targets of "orders" send <response> with status "<status>"
    When a caller posts <order> with a deadline of 2000 ms
    Then the response has outcome "unknown" and status 502 after 1 attempt

    Examples:
      | status | response                   | order                |
      | 000    | a body                     | a kit order          |
      | 000    | a refusal                  | a kit order          |
      | 000    | a chunked body             | a kit order          |
      | 000    | a refusal                  | a streamed kit order |
      | 099    | a refusal                  | a kit order          |
      | 600    | a body                     | a kit order          |
      | 600    | a refusal                  | a kit order          |
      | 600    | an interim response before | a streamed kit order |

  Scenario: Targets with a health path are probed on their own host
    Then within 60 s every target has been probed, and each node's dump reports that all its probes succeeded
