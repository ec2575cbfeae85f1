Feature: A replicated group under overload
  Requests of callers must not delay protocol messages: a leader that handles requests for longer than
  its lease without reading the replies of its peers would lose leadership.

  Scenario: A leader keeps its leadership while it handles more requests than fit into a lease
    Given a group of three hosts on a manual clock, with a leader
    When 3000 callers send the leader requests that take 1 ms each
    Then all 3000 get a reply
    And the leader and the term are unchanged

  Scenario: A host refuses requests as busy when its queue is full
    Given a group of three hosts on a manual clock, with a leader
    When 5000 callers send the leader requests that take 1 ms each
    Then 4000 get a reply and 1000 are refused with the code "busy"
    And the leader and the term are unchanged

  Scenario: A message that renews a lease is delivered before the tick that would end it
    Given an inbox with a request, a tick and a peer message
    Then it delivers the peer message, then the tick, then the request
