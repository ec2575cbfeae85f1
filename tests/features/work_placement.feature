Feature: Requests are placed by their likely cost and by what each target still has to do
  Requests that look alike cost very different amounts of work, and targets differ in speed. The cost of
  a kind of request is learned from the times of earlier ones, and the speed of each target, too.

  Scenario: Services are placed by work where a configuration leaves no time for a second target
    Given a configuration with these routes
      | route | service | timeout | aim    |
      | a     | tight   | 3000ms  | 2500ms |
      | b     | tight   | 4000ms  | 2500ms |
      | c     | roomy   | 9000ms  | 3000ms |
      | d     | roomy   | 2500ms  | 800ms  |
      | e     | single  | 3000ms  | 2500ms |
      | f     | aimless | 3000ms  | 0ms    |
      | g     | aimless | 3000ms  | 0ms    |
    Then the adapter places the requests of "tight" by work, and those of the others by slots

  Scenario: A first time of next to nothing doesn't last
    Given an estimator that has learned nothing
    When 1 attempt takes 0.0 s and 100 attempts take 0.6 s
    Then an attempt is expected to take over 0.5 s

  # Guards against estimates that follow single long requests, and against speeds that pass for costs.
  Scenario Outline: The costs of two kinds are learned on targets of different speeds
    Given requests of which <share> take 7 times as long, on targets of pace 0.7, 1.0 and 2.0
    When 300 requests of 0.4 s and of 0.8 s have run
    Then the kinds are expected to take 0.4 s and 0.8 s, each within 35 %
    And a kind that is new is expected to take as long as the mean
    And the paces keep the order of the targets, and the last is at least twice the first

    Examples:
      | share |
      | 0.0   |
      | 0.03  |

  Scenario: Nothing is expected before the first success, and a change of cost is followed
    Given an estimator that has learned nothing
    Then it expects nothing of a request
    When 100 requests of 0.5 s have run within 10 s
    Then it expects between 0.45 s and 0.55 s
    When 100 requests of 2.0 s have run within 10 s
    Then it expects between 1.6 s and 2.2 s

  Scenario: Kinds are bounded in number, and callers can't make up methods
    Given an estimator that has learned nothing
    When requests of 10000 kinds have run
    Then it keeps 256 kinds
    And a method of the caller's own making doesn't make a kind of its own
    And a request of a service that is placed by slots has no kind

  Scenario: Failed and refused attempts say nothing about costs
    Given an agent whose service is placed by work
    When attempts end with "ok", "wrong", "timeout" and "shed"
    Then only the first of them reports how long it took
    And an agent whose service is placed by slots reports no work

  Scenario: A backend server that starts again has a pace and work of its own
    Given an agent whose service is placed by work
    When its target takes longer than expected, and its backend server starts again
    Then the target counts as slow before the start, and as usual after it

  Scenario: An attempt that has run longer than expected is expected to run on
    Given a target that runs an attempt of 1 s
    Then 0.9 s to 1.1 s are left at 0 s, 0.4 s to 0.6 s at 1 s, and 1.5 s to 4 s at 4 s
    When the attempt ends
    Then nothing is left

  # Guards against a target that counts as free, or as busy, for good because its reports don't come.
  Scenario: Between reports the work that is left falls with time and grows with each selection
    Given a table that heard of 4 s of work in 4 slots
    Then 1 s of work is left after 0.75 s without news, and none after 2 s
    When the table selects the target for 2 requests of 1 s
    Then 1 s of work is left after 60 s without news
    When both end without a report
    Then no work is left after 60 s
    And a pace of 3 that was heard of 20 s ago counts as less than 1.1

  Scenario Outline: Work gives way to risk, distance and earlier attempts
    Given a table that places a request of 0.7 s with an aim of 2.7 s on "slow" of pace 1.5 and "<other>" of pace 1.0
    Then the request goes to "<chosen>"

    Examples:
      | other             | chosen            |
      | equal             | equal             |
      | in another region | slow              |
      | of risk 0.3       | slow              |
      | tried             | slow              |

  Scenario: Of full targets the one that has least to do is chosen
    Given 3 full targets with 2 s, 9 s and 30 s of work left
    Then the next request goes to the first of them

  # The aim is 2.7 s. A request whose work is under half of it has time for a target of half the usual speed, so
  # that placement alone must not make more than 1 in 100 of them late, nor keep 1 in 100 waiting for half the aim.
  Scenario Outline: Uneven costs on uneven targets with a demand that swings by half
    Given targets of paces <paces> that slow down when nearly full, and <rate> requests a second
    When the load is played by slots and by work
    Then by work, at most 1 % of the requests of under half the aim are late
    And by work, 99 % of the requests wait for less than half the aim
    And by work, <fewer> times as many of them are late as by slots, or fewer

    Examples:
      | paces                                               | rate | fewer |
      | 0.8 0.9 1.0 1.0 1.1 1.2 1.3 1.5 3.0 3.0             | 28   | 0.6   |
      | 0.7 0.8 0.9 1.0 1.0 1.1 1.2 1.3 1.4 1.5             | 40   | 1.2   |

  # Guards against placement that relies on reports: with none, the table knows only what it selected itself.
  Scenario: The reports stop
    Given targets of paces 0.8 0.9 1.0 1.0 1.1 1.2 1.3 1.5 3.0 3.0 that slow down when nearly full, and 28 requests a second
    When the load is played by slots and by work, with no report from 30 s on
    Then by work, no larger share of the requests is late than by slots, but for 1 %
