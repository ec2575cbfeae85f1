Feature: Load of the event loop
  A process whose event loop never waits is either given too much work or keeps itself awake. The log tells which.

  Scenario: A callback that schedules itself again at once is logged as idle turns
    Given a program on a watched event loop
    When a callback schedules itself again at once for 1.3 s
    Then the log has a line "event_loop_busy" with more than 1000 idle turns and a longest turn below 500 ms

  Scenario: A long step is logged as one long turn
    Given a program on a watched event loop
    When one step takes 1.3 s
    Then the log has a line "event_loop_busy" with fewer than 10 idle turns and a longest turn above 1000 ms

  Scenario: A program that waits logs nothing
    Given a program on a watched event loop
    When it waits for 1.3 s
    Then the log has no line "event_loop_busy"

  # A step that never ends lets the event loop log nothing.
  Scenario: The stack of a step that takes too long is written while it runs
    Given a program whose steps may take 0.3 s
    When one of its steps takes 1.0 s
    Then the stack names the step's function before the step has ended

  Scenario: A program whose steps are short writes no stack
    Given a program whose steps may take 0.3 s
    When it only waits for 1.0 s
    Then no stack is written

  # Guards against a process that tries the same write again and again without ever waiting.
  Scenario Outline: A write of no bytes isn't repeated at once
    Given a descriptor that accepts no byte
    When <what> is written to it
    Then at most 2 writes were tried

    Examples:
      | what           |
      | a log line     |
      | a disk's entry |
