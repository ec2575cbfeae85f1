Feature: Links that break
  A broken link is an error of one call, and nothing else of the calling task.

  Scenario Outline: A task goes on after its link broke
    Given a peer that closes each link during a call
    When a task makes a <kind> call, and then uses a cancel scope
    Then the call fails with "link_unavailable"
    And the task goes on after the scope

    Examples:
      | kind   |
      | unary  |
      | stream |

  Scenario Outline: Nothing is sent to a peer that lets the kernel wait for a sign of life
    Given a link whose kernel has waited in vain <timeouts> times
    When a task makes a stream call
    Then <end>

    Examples:
      | timeouts | end                                                        |
      | 1        | the call fails before anything is sent                     |
      | 0        | the request is sent                                        |

  Scenario: A call to a host that takes no connection fails soon, however long its answer may take
    Given a host that answers no packet that opens a connection
    When a task makes a call that may take 10 s
    Then the call fails with "link_unavailable" within 1.0 s
