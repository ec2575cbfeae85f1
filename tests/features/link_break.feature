Feature: Links that break
  A broken link must fail the call, and not cancel the calling task. grpclib cancels the task and leaves
  its cancellation count raised, which would end the task at its next cancel scope.

  Scenario Outline: A task continues after its link broke
    Given a peer that closes each link during a call
    When a task makes a <kind> call, and then uses a cancel scope
    Then the call fails with "link_unavailable"
    And the task continues after the scope

    Examples:
      | kind   |
      | unary  |
      | stream |

  # Guards against processes that end by themselves: a connection that was lost before the call went on
  # raised an error that no caller handles.
  Scenario Outline: A connection that is lost as it opens fails only the call
    Given a peer whose connections are lost as they open
    When a task makes a <kind> call, and then uses a cancel scope
    Then the call fails with "link_unavailable"
    And the task continues after the scope

    Examples:
      | kind   |
      | unary  |
      | stream |

  Scenario Outline: Nothing is sent to a peer that has stopped acknowledging packets
    Given a link with <timeouts> retransmission timeouts in a row
    When a task makes a stream call
    Then <end>

    Examples:
      | timeouts | end                                    |
      | 1        | the call fails before anything is sent |
      | 0        | the request is sent                    |

  Scenario: A call to a host that accepts no connection fails soon, even with a long timeout for the reply
    Given a host that ignores connection requests
    When a task makes a call with a timeout of 10 s
    Then the call fails with "link_unavailable" within 1.0 s

  # Guards against an error of the library that the server didn't know: it ended the call's handler
  # with a traceback instead of telling it that the client had gone.
  Scenario: A server that replies on a stream that is closed is told that the client has gone
    Given a call whose stream was closed just before a reply
    When the server sends the reply
    Then the sender is told "link_unavailable"
