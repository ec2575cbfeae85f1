Feature: Attempts wait for a slot in an order
  Where a service lets attempts wait, they wait at the agent by rank, aim and fair shares of the
  workspaces, as long as they can be served in time. What can't be in time is refused at once.

  # Guards against requests that are refused within half a second although their callers give them eight.
  Scenario: A burst that exceeds the slots for some seconds is served within the aim
    Given a target with 4 slots that takes 640 ms, whose attempts wait in an order
    When actions of rank 2 arrive at 4 per second, and at 10 per second from 2 s to 8.5 s
    Then all attempts were admitted, and ended within their aim of 5000 ms

  Scenario: Attempts that can't be in time are refused at once, and the more urgent ones are served
    Given a target with 4 slots that takes 640 ms, whose attempts wait in an order
    When actions of rank 2 arrive at 15 per second for 20 s, and actions of rank 0 at 2 per second
    Then all attempts of rank 0 ended within 1600 ms
    And each admitted attempt ended before its deadline
    And no attempt waited to the end of its time to be refused then
    And the slots were never idle while attempts waited

  Scenario: A workspace that sends many times its usual takes nothing from the others
    Given a target with 4 slots that takes 640 ms, whose attempts wait in an order
    When workspace "hot" sends 16 actions per second for 15 s, and workspaces "a" and "b" send 1 each
    Then all attempts of "a" and "b" ended within their aim of 5000 ms
    And "hot" got the rest of the slots

  Scenario: Lower ranks don't starve
    Given a target with 4 slots that takes 640 ms, whose attempts wait in an order
    When actions of rank 0 arrive at 15 per second for 20 s, and actions of rank 2 at 1 per second
    Then at least a quarter of the attempts of rank 2 were admitted

  Scenario: Attempts that wait at a target that begins to fail are given back for another
    Given a target with 4 slots that takes 10 ms, whose attempts wait in an order, and faults are tracked
    When 8 actions arrive at once, and the first ones fail
    Then the waiting ones are refused with "suspect", and didn't start

  Scenario: A reference of the pool sets how long an attempt may wait
    Given a queue of a target with 2 slots whose pool takes 1000 ms
    When 6 actions with deadlines of 2700 ms arrive while both slots are taken
    Then 3 wait, and 3 are refused with "no_slot"

  # Guards against attempts that wait for seconds and then reach a target that meanwhile says that it leaves, or start in a
  # process that stops before they can end.
  Scenario Outline: Attempts that wait are given back once their target takes no new ones
    Given a target with 4 slots that takes 640 ms, whose attempts wait in an order
    When 12 actions arrive at once, and 100 ms later <event>
    Then <admitted> of them were admitted, and the others refused with "draining"

    Examples:
      | event                                               | admitted |
      | the target announces that it drains                 | 4        |
      | its agent is to drain with 1000 ms for callers      | 8        |

  # Guards against slots that stay free until another attempt ends.
  Scenario: An announcement with more slots starts attempts that wait
    Given a target with 4 slots that takes 640 ms, whose attempts wait in an order
    When 12 actions arrive at once, and 100 ms later the target announces 8 slots
    Then 8 attempts had started after 200 ms

  # Guards against callers that left but keep their places, so that others are refused as if these still waited.
  Scenario: Attempts whose callers have left keep no place
    Given a target with 4 slots that takes 640 ms, whose attempts wait in an order
    When 60 attempts of a front wait, the front cancels them, and 4 actions arrive
    Then all attempts were admitted, and ended within their aim of 1400 ms
    And none of the cancelled attempts took a slot

  # Guards against attempts, and their bodies, that are kept until their deadlines although they ended long before.
  Scenario: An attempt that has waited is forgotten once it ended
    Given a target with 4 slots that takes 640 ms, whose attempts wait in an order
    When 12 actions arrive at once and end
    Then no task is left for them

  # Guards against starts of one rank that make the workspaces of another rank level again, so that who waits longest goes first.
  Scenario: A workspace that sends many times its usual takes nothing from the others beside more urgent attempts
    Given a target with 4 slots that takes 640 ms, whose attempts wait in an order
    When workspace "hot" sends 16 actions per second for 15 s, "a" and "b" send 1 each, and "urgent" sends 3 of a lower rank
    Then all attempts of "a" and "b" ended within their aim of 5000 ms
    And half of the attempts of "a" and "b" ended within 2000 ms

  # Guards against starts for lower ranks that all go to the workspace with the most attempts.
  Scenario: Starts of lower ranks are shared fairly, too
    Given a target with 4 slots that takes 640 ms, whose attempts wait in an order
    When workspace "hot" sends 8 actions per second for 20 s, "a" and "b" send 0.2 each, and "urgent" sends 15 of a lower rank
    Then at least three quarters of the attempts of "a" and "b" were admitted

  # Guards against short requests that are refused because the others of their service take longer than they may.
  Scenario: Requests that take far less than others are judged by their own cost
    Given a target with 4 slots that takes 960 ms, whose attempts wait in an order
    When actions of rank 1 arrive at 15 per second for 20 s, and reads of 20 ms and rank 0 with deadlines of 1000 ms at 2 per second
    Then at least half of the reads were admitted

  # Guards against calls of running requests, which no workspace sends, that share one workspace's part of the slots.
  Scenario: Requests outside of any workspace wait for no workspace's share
    Given a target with 4 slots that takes 640 ms, whose attempts wait in an order
    When 8 workspaces send 2 actions of rank 1 per second each for 20 s, and reads of 160 ms and rank 1 with deadlines of 2040 ms come at 3 per second
    Then at least half of the reads were admitted
