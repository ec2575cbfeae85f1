Feature: Translation of the platform's protocols
  Calls the platform adapter's applications and functions directly, without sockets.

  Scenario Outline: An invalid heartbeat announces no target
    When a heartbeat is received in which <fault>
    Then it is rejected with "announcement_invalid" and the agent has no target

    Examples:
      | fault                              |
      | the service is missing             |
      | the slots are a string             |
      | the state is "resting"             |
      | the body isn't JSON                |
      | the cold time has no unit          |
      | the address is another host's      |

  Scenario: Heartbeats, drains and deregistrations of the target on this host
    When a heartbeat of "i-1" is received with state "ready", sequence 3 and start 1000
    Then the agent's target "i-1" is "serving"
    When a heartbeat of "i-1" is received with state "draining", sequence 5 and start 1000
    And a heartbeat of "i-1" is received with state "ready", sequence 4 and start 1000
    Then the agent's target "i-1" is "draining"
    When "i-1" deregisters with start 1000
    And a heartbeat of "i-1" is received with state "ready", sequence 9 and start 1000
    Then the agent has no target
    When a heartbeat of "i-1" is received with state "ready", sequence 0 and start 2000
    Then the agent's target "i-1" is "serving"
    When "i-1" deregisters with start 1000
    Then the agent's target "i-1" is "serving"

  Scenario: A target that deregisters without its start time
    When a heartbeat of "i-1" is received with state "ready", sequence 3 and start 1000
    And "i-1" deregisters without a body
    And a heartbeat of "i-1" is received with state "ready", sequence 4 and start 1000
    Then the agent has no target

  # Guards against a target that gets requests again after it left, because the node next to it was
  # restarted and a heartbeat from before comes late.
  Scenario Outline: A late heartbeat doesn't bring back a target that left before a restart
    Given a node that records departures
    When a heartbeat of "i-1" is received with state "ready", sequence 3 and start 1000
    And "i-1" <leaves>
    And the node restarts
    And a heartbeat of "i-1" is received with state "ready", sequence 4 and start 1000
    Then the agent has no target in use
    When a heartbeat of "i-1" is received with state "ready", sequence 0 and start 2000
    Then the agent's target "i-1" is "serving"

    Examples:
      | leaves                                                             |
      | deregisters with start 1000                                        |
      | deregisters without a body                                         |
      | sends a heartbeat with state "draining", sequence 5 and start 1000 |

  Scenario: Departures are kept over several restarts
    Given a node that records departures
    When a heartbeat of "i-1" is received with state "ready", sequence 3 and start 1000
    And "i-1" deregisters with start 1000
    And the node restarts
    And the node restarts
    And a heartbeat of "i-1" is received with state "ready", sequence 9 and start 1000
    Then the agent has no target in use

  Scenario Outline: A restarted node keeps to the drains that operators requested before
    Given a node that records departures, and operators drain <drained>
    When the node starts, and reads that after operators end the drain of <ended>
    And a heartbeat of "i-1" is received with state "ready", sequence 1 and start 1000
    Then fronts are told that target "i-1" is "<phase>"

    Examples:
      | drained        | ended          | phase    |
      | target "i-1"   | nothing        | draining |
      | the whole host | nothing        | draining |
      | target "i-2"   | nothing        | serving  |
      | target "i-1"   | target "i-1"   | serving  |
      | the whole host | the whole host | serving  |
      | the whole host | target "i-1"   | draining |

  Scenario: A departure that isn't recorded isn't confirmed, and is in force all the same
    Given a node that records departures
    When a heartbeat of "i-1" is received with state "ready", sequence 3 and start 1000
    And no control host can be reached
    And "i-1" tries to deregister with start 1000
    Then the departure is refused with "departure_unrecorded"
    And the agent has no target in use

  Scenario: A target that serves is used at once after a restart
    Given a node that records departures
    When a heartbeat of "i-1" is received with state "ready", sequence 3 and start 1000
    And the node restarts
    And a heartbeat of "i-1" is received with state "ready", sequence 4 and start 1000
    Then the agent's target "i-1" is "serving"

  Scenario: A node that reaches no control host after a restart takes targets that repeat themselves
    Given a node that records departures
    When no control host can be reached
    And the node restarts, and heartbeats of "i-1" come after 0.5, 1.0 and 2.5 s
    Then the target is in use after the last of them only

  Scenario: A new target replaces the previous one at the same address
    When a heartbeat of "i-1" is received with state "ready", sequence 3 and start 1000
    And a heartbeat of "i-2" is received with state "ready", sequence 0 and start 3000
    Then the agent's target "i-2" is "serving"
    And the agent has 1 target

  # Guards against two targets at one address, of which the first has crashed: requests for it would
  # reach its successor and be refused there.
  Scenario: A late heartbeat of a crashed target doesn't bring it back beside its successor
    When a heartbeat of "i-1" is received with state "ready", sequence 3 and start 1000
    And a heartbeat of "i-2" is received with state "ready", sequence 0 and start 3000
    And a heartbeat of "i-1" is received with state "ready", sequence 4 and start 1000
    Then the agent's target "i-2" is "serving"
    And the agent has 1 target

  # Guards against requests that a stopping node accepts and then cuts off, because its shares of a
  # long grace end well before the grace does.
  Scenario Outline: A stopping node uses the whole time that it has for requests it accepted
    When a node's settings are read with a grace of <grace>
    Then the node stops accepting requests at most 2.9 s after SIGTERM
    And accepted requests may run until <end> s after SIGTERM, and no longer than the grace

    Examples:
      | grace | end  |
      | 1500ms | 1.2 |
      | 6s    | 5.7  |
      | 10s   | 9.7  |
      | 30s   | 29.7 |

  Scenario: A node is ready from its first document and table until it begins to stop
    Then the readiness check returns 503, and 200 once the node has a document and a table
    And it returns 503 again once the node begins to stop

  Scenario Outline: An invalid configuration is rejected and never in force
    Given a document state machine with revision 5
    When a configuration based on 5 is submitted in which <fault>
    Then the response is 400 and revision 5 is read back unchanged

    Examples:
      | fault                                |
      | a route names an unknown service     |
      | a split names an unknown service     |
      | an unknown service has no weight     |
      | a timeout is 0                       |
      | a timeout is over ten minutes        |
      | a timeout is just over ten minutes   |
      | an aim is a minute above the timeout |
      | a route has no attempts              |
      | the version is not above 5           |
      | the text is truncated                |
      | the kind is unknown                  |
      | two tenants have the same key        |
      | two tenants have the same name       |
      | a tenant has a negative rate         |
      | a tenant has a negative burst        |
      | a tenant's key is empty              |
      | a tenant's name contains a line      |

  Scenario Outline: A configuration at the limits of its times is accepted
    Given a document state machine with revision 5
    When a configuration based on 5 is submitted with the timeout <timeout> and the aim <aim>
    Then the response is 200 and revision 6 is read back unchanged

    Examples:
      | timeout    | aim       |
      | 600000ms   | 1s        |
      | 0.4ms      | 0ms       |
      | 3000.4ms   | 63000.3ms |
      | 2.9999996s | 62.9999s  |

  Scenario: A service that a split names twice gets the sum of its weights
    When a configuration is translated whose split gives "orders" the weights 10 and 30 and "recipes" 60
    Then the route sends 40 of 100 requests to "orders" and 60 to "recipes"

  Scenario Outline: A configuration that has grown by thousands of entries is accepted and in force
    Given a document state machine with revision 5
    When a configuration based on 5 is submitted with <routes> more routes and <tenants> tenants
    Then the response is 200 and revision 6 is read back unchanged
    And all of its routes and keys are in force
    When a configuration based on 6 is submitted that moves one of these routes
    Then the response is 200 and revision 7 is read back unchanged
    And nodes get fewer than <bytes> bytes for it

    Examples:
      | routes | tenants | bytes |
      | 1040   | 10      | 15000 |
      | 6000   | 10      | 15000 |
      | 10     | 12000   | 15000 |

  Scenario Outline: What a route's kind allows to be repeated
    When a configuration with a route of kind "<kind>" is translated
    Then requests of the route <may> run more than once

    Examples:
      | kind   | may     |
      | safe   | may     |
      | unsafe | may not |
      | upload | may not |

  Scenario Outline: What a tenant's rate and burst become
    When a configuration with a tenant of rate <rate> and burst <burst> is translated
    Then the tenant's quota is <quota>

    Examples:
      | rate    | burst   | quota                 |
      | 47      | 47      | 47.0/s with burst 47  |
      | 0       | 10      | none                  |
      | omitted | omitted | none                  |
      | omitted | 10      | none                  |
      | 3       | 0       | 3.0/s with burst 1    |
      | 3       | omitted | 3.0/s with burst 1    |
      | 0.25    | 2       | 0.25/s with burst 2   |

  Scenario Outline: The bounds of a deployment tell for how long permissions to use keys last
    A bound that is read as absent would let hosts that are cut off use withdrawn keys without end.

    When the settings of a control host have the bounds <bounds>
    Then hosts run requests with keys for <limit> ms without a confirmation

    Examples:
      | bounds                                        | limit |
      | {"strict-revoke": true, "revoke": "5000ms"}   | 4750  |
      | {"strict-revoke": "true", "revoke": "5s"}     | 4750  |
      | {"strict-revoke": true}                       | 4750  |
      | {"strict-revoke": true, "revoke": "3s"}       | 2850  |
      | {"strict-revoke": false, "revoke": "5000ms"}  | 0     |
      | {"strict-revoke": "false", "revoke": "5000ms"} | 0     |
      | {"revoke": "5000ms"}                          | 0     |
      | {}                                            | 0     |

  Scenario: A configuration without tenants is translated as before they existed
    When a configuration without tenants is translated for a deployment with strict revocation
    Then its sections are those of a deployment without it
    And no request needs a key
    And a request with a key and a tenant reaches its target with neither

  Scenario: Tenants' keys, priorities and names reach requests
    When a configuration with the tenant "pulo780" of priority 1 is translated
    Then a request with its key reaches its target with the tenant's name and without the key
    And a request with an unknown key gets 401, whatever tenant it names
    And a request for a route without authentication reaches its target without a tenant
    And hosts run requests with keys for at most 4750 ms without a confirmation

  Scenario: Requests need a key also if no tenant has one any more
    When a configuration is translated whose only tenant has no key
    Then a request with any key gets 401

  Scenario: Conflicting and repeated submissions by several operators
    Given a document state machine with revision 5
    When revision 7 based on 5 is submitted
    Then the response is 200 and revision 7 is read back unchanged
    When revision 9 based on 5 is submitted
    Then the response is 412 and revision 7 is read back unchanged
    When revision 8 based on 7 is submitted
    And revision 7 based on 5 is submitted
    Then the response is 200 and revision 8 is read back unchanged
    When the document state machine is restored from its snapshot
    And revision 7 based on 5 is submitted
    Then the response is 200 and revision 8 is read back unchanged

  Scenario: Other tasks run between configurations that come at once
    Given a document state machine with revision 5
    When 8 configurations based on 5 are submitted at once
    Then no two of them are translated in one iteration of the event loop

  Scenario: A change of a single section discards the submitted text
    Given a document state machine with revision 5
    When a team changes a single section
    Then no submitted text can be read back

  Scenario: A follower redirects the operator to the leader
    When a configuration is submitted to a control host that follows "10.1.0.9:7360"
    Then the operator is redirected to "http://10.1.0.9:8620/api/config/replace"

  Scenario: A request is forwarded with its own id, the target's id and the remaining time
    When a request with forged headers is forwarded
    Then its target receives each header once, with the values that the system sets

  Scenario Outline: Matching responses to a request
    When a target responds with status <status> <with>
    Then the response belongs to <match>
    And on a connection that was used before it belongs to <later>

    Examples:
      | status | with                                        | match       | later       |
      | 200    | with the request id and a seal              | the request | the request |
      | 200    | without a seal                              | no request  | no request  |
      | 200    | without the request id                      | no request  | no request  |
      | 200    | with another request id                     | no request  | no request  |
      | 200    | with the request id, a seal and an encoding | no request  | no request  |
      | 500    | with the request id and a seal              | the request | the request |
      | 503    | with no headers                             | the request | no request  |
      | 503    | with another request id                     | no request  | no request  |

  Scenario Outline: Detecting refusals of targets
    When a target responds with status <status> <with>
    Then the response is classified as <refusal>

    Examples:
      | status | with                       | refusal        |
      | 503    | with a not-executed header | shedding       |
      | 429    | with a not-executed header | shedding       |
      | 421    | with no headers            | unknown_target |
      | 503    | with no headers            | no refusal     |
      | 500    | with no headers            | no refusal     |

  Scenario Outline: A status guarantees "not run" only with proof
    When the response to a caller is made from <source>
    Then the caller receives status <status>

    Examples:
      | source                                       | status |
      | a target's 200                               | 200    |
      | a target's 500                               | 500    |
      | a target's 503 without a not-executed header | 502    |
      | a target's 421 without a not-executed header | 502    |
      | an error 503 that proves "not-run"           | 503    |
      | an error 503 with the outcome "unknown"      | 502    |
      | an error 504 with the outcome "unknown"      | 504    |

  Scenario Outline: Services get the retry budget that the deployment's bounds state
    When a configuration is submitted to a deployment with the contract <contract> and the bounds <bounds>
    Then its service allows <share> retries a request, <pooled> if many fronts share them, and <floor> more in <window> s, planned <plan>

    Examples:
      | contract | bounds                                                            | share | pooled | floor | window | plan       |
      | pressure | retry-budget-ratio=0.2, retry-budget-slack=164, budget-window=10s | 0.12  | 0.15   | 98.4  | 10     | by_service |
      | pool     | retry-budget-ratio=0.2, retry-budget-slack=164, budget-window=10s | 0.12  | 0.15   | 98.4  | 10     | by_front   |
      | pressure | floor-share=0.7                                                   | 0.06  | 0.075  | 7.2   | 60     | by_front   |

  Scenario: Settings rendered from the deployment templates
    When the deployment templates are rendered
    Then they are valid settings of a node and of a control host
