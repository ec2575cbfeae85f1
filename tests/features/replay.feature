Feature: Replay of recorded traces
  `samphire-replay` feeds a trace to the detection code that runs in production and prints the result.

  Scenario: The JSON report has exactly the documented members
    Given a generated trace file of the scenario "slow x4" with seed 7
    When the trace is replayed with "--json"
    Then the exit status is 0 and the report has the documented members
    And "t3" was detected within 4.0 s, with no missed target and no false ejection
    And two replays give the same bytes

  Scenario: The table shows detections and ejections
    Given a generated trace file of the scenario "slow x4" with seed 7
    When the trace is replayed without options
    Then the exit status is 0 and the output names "Detection" and "Ejections"

  Scenario: Recorded responses of a target that the replay has ejected are no evidence
    Given a trace file whose target "t1" responds slowly from 3 s to 6 s and then normally for 12 s
    When the trace is replayed with "--json"
    Then "t1" stays ejected for at least 10.0 s

  Scenario Outline: An invalid line ends the replay with an error that names the line
    Given a trace file with a valid header and the line '<line>'
    When the trace is replayed with "--json"
    Then the exit status is 2 and the error names line 2 and "<reason>"

    Examples:
      | line                                                                       | reason       |
      | {"t": 1.0, "target": "t9", "latency_ms": 1.0, "outcome": "ok"}             | unknown      |
      | {"t": 1.0, "target": "t0", "latency_ms": 1.0, "outcome": "late"}           | outcome      |
      | {"t": 1.0, "target": "t0", "latency_ms": -1.0, "outcome": "ok"}            | latency_ms   |
      | {"t": 1.0, "target": "t0", "outcome": "ok"}                                | latency_ms   |
      | {"t": -1.0, "target": "t0", "probe": "ok"}                                 | time         |
      | {"t": 1.0, "target": "t0"}                                                 | exactly one  |
      | {"t": 1.0, "target": "t0", "probe": "ok", "event": "gone"}                 | exactly one  |
      | {"t": "x", "target": "t0", "probe": "ok"}                                  | $.t          |
      | {"sick": "t0", "from": 9.0, "until": 3.0}                                  | from         |
      | {"sick": "t0", "from": 9.0}                                                | until        |
      | {"t": 1.0, "target": "t0", "pulse": "ok"}                                  | pulse        |
      | [1, 2]                                                                     | array        |
      | {"t": 1.0,                                                                 | truncated    |

  Scenario: An invalid header and an empty or missing file end the replay with an error
    When a trace with an invalid header, an empty one, one that is not UTF-8 and a missing file are replayed
    Then each exit status is 2 and each error is one line
