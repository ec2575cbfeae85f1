Feature: The platform's calls in the project's terms
  What the adapter decodes, and what it answers; no socket is open.

  Scenario Outline: A heartbeat that can't be understood names no target
    When a heartbeat comes in which <fault>
    Then it is refused with "announcement_invalid" and the agent knows no target

    Examples:
      | fault                              |
      | the service is missing             |
      | the slots are a text               |
      | the state is "resting"             |
      | the bytes are no JSON              |
      | the cold time has no unit          |
      | the address is another host's      |

  Scenario: Heartbeats, drains and departures of the target on this host
    When a heartbeat of "i-1" comes with state "ready", sequence 3 and start 1000
    Then the agent's target "i-1" is "serving"
    When a heartbeat of "i-1" comes with state "draining", sequence 5 and start 1000
    And a heartbeat of "i-1" comes with state "ready", sequence 4 and start 1000
    Then the agent's target "i-1" is "draining"
    When "i-1" deregisters with start 1000
    And a heartbeat of "i-1" comes with state "ready", sequence 9 and start 1000
    Then the agent knows no target
    When a heartbeat of "i-1" comes with state "ready", sequence 0 and start 2000
    Then the agent's target "i-1" is "serving"
    When "i-1" deregisters with start 1000
    Then the agent's target "i-1" is "serving"

  Scenario: A target that leaves without naming its start
    When a heartbeat of "i-1" comes with state "ready", sequence 3 and start 1000
    And "i-1" deregisters without a body
    And a heartbeat of "i-1" comes with state "ready", sequence 4 and start 1000
    Then the agent knows no target

  Scenario: An address that another target has taken
    When a heartbeat of "i-1" comes with state "ready", sequence 3 and start 1000
    And a heartbeat of "i-2" comes with state "ready", sequence 0 and start 3000
    Then the agent's target "i-2" is "serving"
    And the agent has 1 target

  Scenario: A node is ready from its first document and table until it leaves
    Then the node answers the readiness question with 503, and with 200 once it has both
    And with 503 again once it leaves

  Scenario Outline: An invalid configuration is refused and never in force
    Given a document machine with revision 5
    When a configuration on top of 5 is submitted in which <fault>
    Then the answer is 400 and revision 5 is read back as it was sent

    Examples:
      | fault                                |
      | a route names an unknown service     |
      | a split names an unknown service     |
      | a timeout is 0                       |
      | a timeout is over ten minutes        |
      | an aim is a minute above the timeout |
      | a route has no attempts              |
      | the version is not above 5           |
      | the text is cut short                |
      | the kind is unknown                  |

  Scenario: Orders of several operators
    Given a document machine with revision 5
    When revision 7 on top of 5 is submitted
    Then the answer is 200 and revision 7 is read back as it was sent
    When revision 9 on top of 5 is submitted
    Then the answer is 412 and revision 7 is read back as it was sent
    When revision 8 on top of 7 is submitted
    And revision 7 on top of 5 is submitted
    Then the answer is 200 and revision 8 is read back as it was sent
    When the machine is restored from its snapshot
    And revision 7 on top of 5 is submitted
    Then the answer is 200 and revision 8 is read back as it was sent

  Scenario: A section that is changed by itself leaves no submitted text
    Given a document machine with revision 5
    When a team changes its section by itself
    Then no submitted text is read back

  Scenario: Another control host leads
    When a configuration is submitted to a control host that follows "10.1.0.9:7360"
    Then the operator is sent to "http://10.1.0.9:8620/api/config/replace"

  Scenario: A request goes on with its own id, and the target's id and time left
    When a request with forged headers is passed on
    Then its target gets each header once, with the values that the system sets

  Scenario Outline: Which answers belong to a request
    When a target answers <status> <with>
    Then the answer <verdict>

    Examples:
      | status | with                              | verdict                  |
      | 200    | with the id and a seal            | belongs to the request   |
      | 200    | without a seal                    | belongs to no request    |
      | 200    | without the id                    | belongs to no request    |
      | 200    | with another id                   | belongs to no request    |
      | 200    | with the id, a seal and an encoding | belongs to no request  |
      | 500    | with the id and a seal            | belongs to the request   |
      | 503    | with nothing                      | belongs to the request   |
      | 503    | with another id                   | belongs to no request    |

  Scenario Outline: Refusals of targets
    When a target answers <status> <with>
    Then it is read as <refusal>

    Examples:
      | status | with               | refusal        |
      | 503    | with the statement | shedding       |
      | 429    | with the statement | shedding       |
      | 421    | with nothing       | unknown_target |
      | 503    | with nothing       | no refusal     |
      | 500    | with nothing       | no refusal     |

  Scenario Outline: Statuses that promise "not run"
    When the answer to a client is made from <source>
    Then its status is <status>

    Examples:
      | source                                  | status |
      | a target's 200                          | 200    |
      | a target's 500                          | 500    |
      | a target's 503 without a statement      | 502    |
      | a target's 421 without a statement      | 502    |
      | an error 503 that proves "not-run"      | 503    |
      | an error 503 with the outcome "unknown" | 502    |
      | an error 504 with the outcome "unknown" | 504    |

  Scenario: Settings as the templates render them
    When the templates of the deploy file are filled in
    Then they are settings of a node and of a control host in the project's terms
