Feature: Timer service and inboxes
  The tasks of a process get the time from one service and exchange messages through bounded inboxes.

  Scenario: A subscriber gets one tick for several missed intervals
    Given a manual timer service
    When a task subscribes with an interval of 1.0 s and the time advances by 5.0 s at once
    Then the task has received 1 tick at 5.0 s

  # Guards against ticks that follow each other without a pause until the clock has moved on.
  Scenario: A timer that fires a rounding error early gives one tick
    Given a timer service whose waits end 0.1 ns early
    When a task receives 3 ticks at an interval of 1.0 s
    Then the ticks are at least 0.9 s apart

  Scenario: A full inbox rejects a message
    Given an inbox that holds 2 messages
    When 3 messages are posted
    Then the last post fails with "inbox_full"

  Scenario: A request gets the error that the inbox's owner replies with
    Given an inbox that holds 2 messages
    When the owner of the inbox replies to a request with an error
    Then the requester gets the error
