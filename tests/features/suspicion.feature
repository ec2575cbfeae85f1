Feature: Requests avoid a target after its first failure
  With short faults, some targets fail nearly all requests for a few seconds, at any time.

  Scenario: One failure makes a target suspect, and time or a success clears it
    Given a target of a service with 30 % of its targets in faults of 2.7 s
    Then its risk is between 0.29 and 0.31
    When the target succeeds
    Then its risk is between 0.01 and 0.06
    When the target fails
    Then its risk is between 0.60 and 0.99
    When 1 s passes
    Then its risk is between 0.45 and 0.85
    When 20 s passes
    Then its risk is between 0.29 and 0.31
    When the target fails
    And the target succeeds
    Then its risk is between 0.50 and 0.90
    When the target succeeds
    Then its risk is between 0.05 and 0.50

  Scenario: Errors of callers don't change the risk, shedding does
    Given a target of a service with 30 % of its targets in faults of 2.7 s
    When the target responds with an error of the caller
    Then its risk is between 0.29 and 0.31
    When the target sheds a request
    Then its risk is between 0.60 and 0.99

  Scenario: An agent refuses actions that another target serves better, and admits occasional reads
    Given a target of a service with 30 % of its targets in faults of 2.7 s
    When the target fails
    Then its agent refuses an action if the front has another target of risk 0.3
    And its agent admits an action if the front has no other target
    And its agent admits one of 5 reads within 0.9 s
    When 1 s passes
    Then its agent admits one of 5 reads within 0.9 s

  Scenario: Actions go to the near target of lowest risk, even if only one of its slots is free
    Given a front with targets of these risks and free slots
      | target | distance | risk | free |
      | a      | 1        | 0.30 | 5    |
      | b      | 2        | 0.02 | 1    |
      | c      | 2        | 0.15 | 5    |
      | d      | 3        | 0.01 | 5    |
    Then an action goes to "b", which refuses it above a risk of about 0.11

  Scenario: A far target receives actions only if all near ones are suspect
    Given a front with targets of these risks and free slots
      | target | distance | risk | free |
      | a      | 1        | 0.30 | 5    |
      | b      | 2        | 0.60 | 5    |
      | d      | 3        | 0.01 | 5    |
    Then an action goes to "d", which refuses it above a risk of about 0.15

  Scenario: A target of higher risk is preferred to one without a free slot
    Given a front with targets of these risks and free slots
      | target | distance | risk | free |
      | a      | 1        | 0.01 | 0    |
      | b      | 2        | 0.20 | 3    |
    Then an action goes to "b", which refuses it above a risk of about 0.27

  # Guards against a fleet that starts, of which one target is known to be well: all requests queued before it,
  # and ended refused for want of a slot, while nothing was sent to targets that weren't known yet.
  Scenario: A target that isn't known is preferred to a good one with a full queue
    Given a front with targets of these risks and free slots
      | target | distance | risk | free | queued |
      | a      | 1        | 0.01 | 0    | 5      |
      | b      | 2        | 0.30 | 3    | 0      |
    Then an action goes to "b", which refuses it above a risk of about 0.57

  Scenario: If all targets are suspect, the one of lowest risk runs the request
    Given a front with targets of these risks and free slots
      | target | distance | risk | free |
      | a      | 1        | 0.95 | 5    |
      | b      | 2        | 0.80 | 5    |
    Then an action goes to "b", which accepts it at a risk of 0.8

  Scenario: A front without recent reports tries a few targets and then uses the best one
    Given 12 targets whose agents compute a risk of 0.2, and a front without recent reports
    Then an action is refused by at most 3 targets and runs on the fourth

  # Guards against a node whose every step grows with the attempts since one that never ends.
  Scenario: A target that holds one attempt for long keeps a bounded amount of evidence
    Given a target of a service with 30 % of its targets in faults of 2.7 s
    When it holds one attempt for 20 s and serves 4000 others meanwhile
    Then it keeps the evidence of at most 64 attempts
    And its risk is the same as without the long one, also once that has succeeded

  Scenario: Few requests fail while targets have short faults
    When 12 targets serve 3000 actions and 1500 reads while 30 % of them are in faults
    Then at most 8 % of the actions fail, and at most 2 % of the reads
    And with random selection at least 20 % of the actions fail
    And in 95 % of all windows of 2 s at least 70 % of the healthy targets serve requests

  Scenario: Services share a route by their weights
    When 2000 requests use a route with the weights 90, 7 and 3
    Then each service receives its share within 2 percentage points
    And the same holds for 36 fronts with 55 requests each

  Scenario Outline: A long body leaves its region only for a much safer target
    Given a target in the own region with a risk of <risk> and one in another region with 0.01
    When a target is selected for an action with a body of <size> kB
    Then it is the one in the <region> region

    Examples:
      | risk | size | region |
      | 0.10 | 0    | own    |
      | 0.30 | 0    | other  |
      | 0.30 | 10   | other  |
      | 0.30 | 50   | own    |
      | 0.30 | 5000 | own    |
      | 0.60 | 5000 | other  |

  Scenario: Writing log lines never blocks on their reader
    Given a log whose reader reads nothing
    When 10000 lines are written
    Then less than 2 s have passed and at most 128 KiB are buffered
    When the reader reads everything, and one more line is written
    Then the reader has received complete lines and the number of dropped ones

  Scenario: Changed seeds in a settings file
    Given a program that follows a settings file
    When the seeds in the file change, with and without a SIGHUP
    Then it uses the new seeds each time, and keeps the last ones when the file is invalid
