Feature: Actions that run at most once
  The ledger's claims, the agents' fences and the front's coordinator together keep an action from
  running twice when messages are lost, delayed, repeated or reordered.

  Scenario Outline: Random interleavings of lost and repeated messages, restarts and resends
    When <count> random interleavings of <steps> steps run with clocks up to <skew> s apart
    Then no action ran twice, none ran after "not-run" was reported, and every claim is final
    And at least <ran> requests ended "ran", <notrun> "not-run" and <unknown> "unknown"

    Examples:
      | count | steps | skew | ran | notrun | unknown |
      | 300   | 60    | 0    | 300 | 50     | 50      |
      | 200   | 60    | 8    | 100 | 50     | 50      |

  Scenario: An action without faults takes two commits, and a resend takes one
    Given a ledger, two fronts and two agents without faults
    When an action is sent and ends
    Then 2 commands were committed and the action ran once
    When the action is resent with its key
    Then 3 commands were committed and the action ran once
    And the resend received the stored response

  Scenario: A resend joins the attempt that is still running
    Given a ledger, two fronts and two agents without faults
    When an action is sent to one front and, while it runs, to the other
    Then the action ran once and both requests received the same response

  Scenario: A key that is reused with another body is rejected
    Given a ledger, two fronts and two agents without faults
    When an action is sent and ends
    And its key is reused with another body
    Then the second request fails with "key_reused" and was not run

  Scenario: Without a quorum nothing is dispatched
    Given a ledger, two fronts and two agents without faults
    When the ledger loses its quorum and an action is sent
    Then within 6.0 s the request fails with "ledger_unavailable" and the outcome "unknown"
    And nothing ran, and the detail says that a resend with the same key is safe
    And once the quorum is back a resend runs the action once

  Scenario: Without a quorum an action without a caller's key is reported as not run
    Given a ledger, two fronts and two agents without faults
    When the ledger loses its quorum and an action without a key is sent
    Then within 6.0 s the request fails with "ledger_unavailable" and the outcome "not-run"
    And nothing ran

  Scenario Outline: Without a quorum a resend of an action that ran isn't reported as "not-run"
    Given a ledger, two fronts and two agents without faults
    When an action is sent and ends
    And the ledger loses its quorum, <replica> replies and the action is resent
    Then within 6.0 s the request fails with "ledger_unavailable" and the outcome "unknown"
    And the action ran once, and the detail says that a resend with the same key is safe

    Examples:
      | replica                   |
      | no replica                |
      | a replica that lags       |

  Scenario: Without a quorum a resend receives the response that any replica has stored
    Given a ledger, two fronts and two agents without faults
    When an action is sent and ends
    And the ledger loses its quorum, a replica that caught up replies and the action is resent
    Then the resend received the stored response

  Scenario: A dispatch that arrives after "not-run" was reported doesn't start
    Given a ledger, two fronts and two agents without faults
    When an action's dispatch is late and the agent confirms a fence
    Then the late dispatch is refused with "fenced"

  Scenario: The refusal of a dispatch's second copy overtakes the first copy's response
    Given a ledger, two fronts and two agents without faults
    When the network repeats an action's dispatch and the reply to the second copy arrives first
    Then the action ran once and the caller received its response

  Scenario: A front crashes between its claim and its dispatch
    Given a ledger, two fronts and two agents without faults
    When a front crashes after its claim and the action is sent to the other front
    Then the resend runs the action once

  Scenario: An agent restarts between an action's start and its response
    Given a ledger, two fronts and two agents without faults
    When an action starts and its agent restarts before the response
    Then the request and a resend both end as "unknown", and the action ran once

  Scenario: The caller of an action disconnects
    Given a front whose actions take 500 ms
    When a caller disconnects 100 ms after it sent an action with the key "k"
    Then the action ran to its end and the ledger has its response

  Scenario: The caller of an action without a key disconnects
    Given a front whose actions take 500 ms
    When a caller disconnects 100 ms after it sent an action without a key
    Then the action was sent once, and the ledger has no claim for it

  Scenario: A service that requires keys rejects an action without one
    Given a front whose service requires keys
    When an action without a key is sent
    Then it fails with "key_required" and no attempt is made

  Scenario: A key without a workspace is rejected, since another caller may use the same key
    Given a front whose actions take 2 ms
    When an action with the key "k" and no workspace is sent
    Then it fails with "workspace_required" and no attempt is made
    When an action with no key and no workspace is sent
    Then the action ran

  Scenario: An agent detects that an earlier copy of a dispatch may have started
    Given an agent's attempt table
    When an attempt starts and a second copy of it arrives
    Then the table shows that an earlier copy may have started

  Scenario: An attempt past its latest start is rejected even after its entry was dropped
    Given an agent's attempt table for at most 4 attempts
    When 10 attempts start and end
    Then a second copy of each of them doesn't start
    And the table holds 4 attempts

  Scenario: A claim is kept for its retention across changes of the leader, then removed
    Given a ledger, two fronts and two agents without faults
    When an action is sent and ends
    And 119 s pass with 5 changes of the leader
    Then the claim is still stored
    When 130 s pass twice and other commands are committed
    Then the claim is removed

  Scenario: The size of a claim in memory and in snapshots is bounded
    When 2000 claims with a response of 200 bytes are recorded
    Then their snapshot takes at most 400 bytes per claim
    And the claims take at most 800 bytes of memory each

  Scenario: Packed claims give the same results as unpacked ones
    When 300 random sequences of 80 commands are applied to packed and unpacked claims
    Then each command has the same result on both, and each type of result occurs

  Scenario: A workspace's shard never changes
    Then the workspaces "wheatsheaf", "anneau" and "" are in shards 50, 48 and 25
