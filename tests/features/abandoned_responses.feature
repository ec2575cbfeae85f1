Feature: Responses whose front has left
  An action goes on when nobody waits for its response any more, and its target may send without end.
  The agent must neither keep what comes nor read for long, or its process ends for all others.

  # Guards against an agent that posts the rest of a response to a front that has left, faster than
  # the link takes it: its memory grew by hundreds of megabytes a second.
  Scenario Outline: A response without end isn't kept once its front has left
    Given a target that answers an action with a body without end, <framing>
    When <front> leaves it after <taken> KiB by <leaving>
    Then the agent's memory has grown by at most 6 MiB
    And the target has sent at most 4 MiB, its connection is closed and its slot is free

    Examples:
      | framing            | front                 | taken | leaving                |
      | in chunks          | a front               | 512   | cancelling the attempt |
      | in chunks          | a front               | 512   | closing its channel    |
      | in chunks          | a front               | 512   | losing its link        |
      | in chunks          | a front on the host   | 512   | cancelling the attempt |
      | in chunks          | a front               | 0     | cancelling the attempt |
      | with a length      | a front               | 512   | cancelling the attempt |
      | until it closes    | a front               | 512   | cancelling the attempt |
      | in chunks of a few | a front               | 64    | cancelling the attempt |
      | before a late head | a front               | 0     | cancelling the attempt |

  Scenario: Many responses without end at once are not kept
    Given a target that answers an action with a body without end, in chunks
    When 12 attempts are left, one after the other, after 256 KiB each
    Then the agent's memory has grown by at most 6 MiB
    And no attempt runs any more

  Scenario Outline: A short response is read to its end after its front has left
    Given a target that answers an action with <size> KiB after 0.2 s
    When a front leaves it after 0 KiB by cancelling the attempt
    Then the action ran once, and its connection serves the next attempt

    Examples:
      | size |
      | 1    |
      | 600  |

  Scenario: A read is cancelled at its target when its front leaves
    Given a target that answers a read with a body without end, in chunks
    When a front leaves it after 512 KiB by cancelling the attempt
    Then the agent's memory has grown by at most 6 MiB
    And the target has sent at most 2 MiB, its connection is closed and its slot is free

  # Guards against a channel whose front reads nothing, frozen or behind a broken network: what its
  # attempts were answered waited without a bound in bytes.
  Scenario: A front that reads nothing gets no further attempts
    Given an agent whose attempts respond with 200 KiB each
    When a front that reads nothing sends 600 attempts
    Then at most 24 MiB wait for it, and the other attempts are refused as not run
    And another front is served at the same time
    And nothing waits any more once it has disconnected
