Feature: Writes to callers are coalesced

  Scenario: The parts of a short response are sent as one segment
    Given a coalescing transport
    When "head", "body" and "" are written within one event loop iteration, and "next" in another one
    Then the inner transport has sent "headbody" and "next", in this order

  Scenario: Closing sends buffered data, and aborting discards it
    Given a coalescing transport
    When "last" is written and the transport is closed within one event loop iteration
    Then the inner transport has sent "last" before it was closed
    And after an abort in the same iteration nothing is sent
