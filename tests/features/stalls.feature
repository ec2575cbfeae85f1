Feature: Stalled requests
  A target that accepts requests and never responds is ejected long before their deadlines.

  Scenario Outline: A stalled target is ejected as quickly as a slow one
    Given 12 targets at 10 requests/s each with deadlines of 60 s, under the "<mode>" policy
    When one target stalls after 15 s, over seeds 0 to 1
    Then the front ejects this target within <limit> s, and no other one

    Examples:
      | mode    | limit |
      | fast    | 4.0   |
      | careful | 12.0  |

  Scenario Outline: A stall of the whole pool ejects no target
    Given 12 targets at 10 requests/s each with deadlines of 60 s, under the "<mode>" policy
    When all targets stall after 15 s for <duration> s and serve for 25 s, over seeds 1 to 1
    Then the front ejects no target

    Examples:
      | mode    | duration |
      | fast    | 2.0      |
      | fast    | 6.0      |
      | careful | 2.0      |
      | careful | 6.0      |

  Scenario: Occasional responses of 20 s eject no target
    Given 12 targets at 10 requests/s each with deadlines of 60 s, under the "fast" policy
    When one in 100 responses takes 20 s for 45 s, over seeds 0 to 0
    Then the front ejects no target

  Scenario: Each stage of a stall counts once, however the attempt is watched and ends
    When 150 random waits are checked at random times, some while the agent's inbox is full
    Then each has counted the stages that it reached, and its end adds nothing

  Scenario: Time in which the front doesn't read the response is no stall of the target
    Given an attempt on a pool with a 97th percentile of 100 ms
    When the target responds after 50 ms and the front takes 30 s to read the response
    Then the attempt has not stalled
    When the target then sends nothing for 1 s
    Then the attempt has stalled
