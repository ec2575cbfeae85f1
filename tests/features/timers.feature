Feature: Timer service and inboxes
  The tasks of a process get the time from one service and exchange messages through bounded inboxes.

  Scenario: A subscriber gets one tick for several missed intervals
    Given a manual timer service
    When a task subscribes with an interval of 1.0 s and the time advances by 5.0 s at once
    Then the task has received 1 tick at 5.0 s

  Scenario: A full inbox rejects a message
    Given an inbox that holds 2 messages
    When 3 messages are posted
    Then the last post fails with "inbox_full"

  Scenario: A request gets the error that the inbox's owner replies with
    Given an inbox that holds 2 messages
    When the owner of the inbox replies to a request with an error
    Then the requester gets the error
