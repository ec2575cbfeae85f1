Feature: Explaining a failed request from logs
  `samphirectl explain` reads collected log files only and contacts no process.

  Background:
    Given the log of "node-a" contains these lines
      | at           | event             | fields                                                       |
      | 10:00:00.000 | document_in_force | {"version": 7}                                               |
      | 10:00:08.000 | path_lost         | {"host": "host-b"}                                           |
      | 10:00:08.500 | path_lost         | {"host": "host-z"}                                           |
      | 10:00:09.900 | request_ended     | {"request": "other", "end": "answered", "took_ms": 5, "attempts": [{"target": "t-9", "host": "host-z", "from_ms": 0, "end": "answered"}]} |
      | 10:00:10.200 | request_ended     | {"request": "r-1", "end": "attempt_failed:unknown", "took_ms": 200, "attempts": [{"target": "t-1", "host": "host-b", "from_ms": 1, "end": "refused:suspect", "risk": 0.4}, {"target": "t-2", "host": "host-c", "from_ms": 20, "end": "failed:reset", "risk": 0.1}]} |
    And the log of "host-c" contains these lines
      | at           | event                    | fields                                    |
      | 09:59:00.000 | target_condition_changed | {"target": "t-2", "condition": "healthy"} |
      | 10:00:09.000 | target_condition_changed | {"target": "t-2", "condition": "slow_start"} |
      | 10:00:09.100 | target_condition_changed | {"target": "t-3", "condition": "sick"}    |
      | 10:00:11.000 | target_condition_changed | {"target": "t-2", "condition": "sick"}    |

  Scenario: Steps of a request from several processes' logs, in order of time
    When an operator explains request "r-1"
    Then the explanation has these steps
      | at           | process | step                     | names                |
      | 10:00:00.000 | node-a  | document_in_force        | 7                    |
      | 10:00:08.000 | node-a  | path_lost                | host-b               |
      | 10:00:08.500 | node-a  | path_lost                | host-z               |
      | 10:00:09.000 | host-c  | target_condition_changed | t-2 slow_start       |
      | 10:00:09.100 | host-c  | target_condition_changed | t-3 sick             |
      | 10:00:10.001 | node-a  | attempt                  | t-1 refused:suspect  |
      | 10:00:10.020 | node-a  | attempt                  | t-2 failed:reset     |
      | 10:00:10.200 | node-a  | request_ended            | attempt_failed:unknown |
    And the table contains the targets "t-1" and "t-2"

  Scenario: A request that no log line names
    When an operator explains request "r-2"
    Then the command exits with 6 and names the event that marks omitted lines

  Scenario: A missing file, and files with text that isn't a log line
    When an operator explains request "r-1" from a missing file
    Then the command exits with 2
    When the log lines have a collector's prefix and other text between them
    And an operator explains request "r-1"
    Then the explanation has 8 steps
