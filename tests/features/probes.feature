Feature: Health probes as additional evidence
  A host probes its targets. A failed probe speeds up a decision from live evidence; no probe reverses one.

  Scenario: Probes are spread over time, and few of them run at once
    When 200 random sets of targets are scheduled with probes of random durations
    Then at most 4 probes run at once, each on another target
    And probes of a target start 0.8 to 1.2 of its interval apart if none has to wait

  Scenario: The prober reports results to the agent
    Given an agent with the targets "healthy", "unhealthy", "silent", "unprobed", "starting" and "draining"
    When 20 s pass with probes every 2 s and a timeout of 1 s
    Then "healthy", "unhealthy" and "silent" were probed 8 to 12 times each and the others never
    And the prober's dump has the latest result of each probed target
    And the metrics count all probes

  Scenario: A failed probe counts only together with live evidence
    Given an agent with the targets "healthy", "unhealthy", "silent", "unprobed", "starting" and "draining"
    When 20 s pass with probes every 2 s and a timeout of 1 s
    Then no target is unhealthy or suspect because of its probes alone

  Scenario: A successful probe neither clears a suspicion nor shortens an ejection
    When 150 random histories of a target are repeated with successful probes in between
    Then both have the same conditions, severities and ends of ejections at all times

  Scenario Outline: A health endpoint over a real socket
    Given a health endpoint that "<behaviour>"
    Then a probe of it is "<result>"

    Examples:
      | behaviour             | result |
      | responds with 200     | ok     |
      | responds with 204     | ok     |
      | responds with 503     | failed |
      | cuts off its response | failed |
      | resets the connection | failed |
      | doesn't listen        | failed |
      | responds without end  | failed |
