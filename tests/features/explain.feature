Feature: A failed request is explained from the logs alone
  `samphirectl explain` needs the collected log files and no process.

  Background:
    Given the log of "node-a" has these lines
      | at           | event             | fields                                                       |
      | 10:00:00.000 | document_in_force | {"version": 7}                                               |
      | 10:00:08.000 | path_lost         | {"host": "host-b"}                                           |
      | 10:00:08.500 | path_lost         | {"host": "host-z"}                                           |
      | 10:00:09.900 | request_ended     | {"request": "other", "end": "answered", "took_ms": 5, "attempts": [{"target": "t-9", "host": "host-z", "from_ms": 0, "end": "answered"}]} |
      | 10:00:10.200 | request_ended     | {"request": "r-1", "end": "attempt_failed:unknown", "took_ms": 200, "attempts": [{"target": "t-1", "host": "host-b", "from_ms": 1, "end": "refused:suspect", "risk": 0.4}, {"target": "t-2", "host": "host-c", "from_ms": 20, "end": "failed:reset", "risk": 0.1}]} |
    And the log of "host-c" has these lines
      | at           | event                    | fields                                    |
      | 09:59:00.000 | target_condition_changed | {"target": "t-2", "condition": "healthy"} |
      | 10:00:09.000 | target_condition_changed | {"target": "t-2", "condition": "slow_start"} |
      | 10:00:09.100 | target_condition_changed | {"target": "t-3", "condition": "sick"}    |
      | 10:00:11.000 | target_condition_changed | {"target": "t-2", "condition": "sick"}    |

  Scenario: The way of a request over several processes, in order of time
    When an operator asks for the explanation of "r-1"
    Then these are its steps
      | at           | process | step                     | names                |
      | 10:00:00.000 | node-a  | document_in_force        | 7                    |
      | 10:00:08.000 | node-a  | path_lost                | host-b               |
      | 10:00:08.500 | node-a  | path_lost                | host-z               |
      | 10:00:09.000 | host-c  | target_condition_changed | t-2 slow_start       |
      | 10:00:09.100 | host-c  | target_condition_changed | t-3 sick             |
      | 10:00:10.001 | node-a  | attempt                  | t-1 refused:suspect  |
      | 10:00:10.020 | node-a  | attempt                  | t-2 failed:reset     |
      | 10:00:10.200 | node-a  | request_ended            | attempt_failed:unknown |
    And the table names the targets "t-1" and "t-2"

  Scenario: A request that no line names
    When an operator asks for the explanation of "r-2"
    Then the command ends with 6 and says where lines may be missing

  Scenario: A file that can't be read, and lines that are no log
    When an operator asks for the explanation of "r-1" in a file that is missing
    Then the command ends with 2
    When other text stands between the lines, and the collector's words before them
    And an operator asks for the explanation of "r-1"
    Then it has 8 steps
