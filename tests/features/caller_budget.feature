Feature: One budget for all that a process holds for callers
  Each connection was bounded for itself, and all of them together were more than a machine has. The
  decisions run here without a network; the last scenarios use a server in this process.

  Scenario: Nothing is paused or ended while there is room
    Given a budget of 1000 KiB and 100 connections
    When 20 connections receive 19 KiB each
    Then none is paused and none is ended

  Scenario: A connection that holds more than its share is paused, and read again once there is room
    Given a budget of 1000 KiB and 100 connections
    When 6 connections receive 64 KiB each
    Then none is paused and none is ended
    When connection 1 receives 90 KiB in all
    Then connection 1 is paused, and no other
    When connection 2 closes
    Then none is paused and none is ended

  Scenario: Many idle connections don't hold up a short body
    Given a budget of 1000 KiB and 100 connections
    When 40 connections are idle and hold 9 KiB each
    And a new connection receives 60 KiB
    Then none is paused and none is ended

  Scenario Outline: Connections end in a stated order when the budget is short
    Given a budget of 1000 KiB and 100 connections
    And connection 1 is <first> and holds 100 KiB
    And connection 2 is <second> and holds 150 KiB
    And connection 3 is <third> and holds 200 KiB
    When a new connection receives 60 KiB
    Then connection 1 is the first that is ended, with the reason "<reason>"
    And connection 3 isn't ended

    Examples:
      | first               | second           | third   | reason     |
      | unread for 3 s      | stalled for 3 s  | served  | unread     |
      | stalled for 3 s     | idle             | served  | stalled    |
      | paused              | idle             | served  | over_share |
      | idle for 3 s        | received now     | served  | idle       |
      | received now        | idle             | served  | largest    |
      | sending ahead       | idle             | served  | largest    |

  Scenario: Who sends ahead is paused, and ended before what is served
    Given a budget of 1000 KiB and 100 connections
    And connection 1 is served and holds 450 KiB
    When connection 1 sends ahead and holds 500 KiB
    Then connection 1 is paused, and no other

  Scenario: Of those that stand still, the one that holds most goes first
    Given a budget of 1000 KiB and 100 connections
    And connection 1 is stalled for 3 s and holds 200 KiB
    And connection 2 is stalled for 9 s and holds 100 KiB
    And connection 3 is served and holds 150 KiB
    When a new connection receives 60 KiB
    Then connection 1 is the first that is ended, with the reason "stalled"

  Scenario: What is served isn't ended, and what comes then is refused
    Given a budget of 1000 KiB and 100 connections
    And connection 1 is served and holds 500 KiB
    And connection 2 is served and holds 550 KiB
    Then there is no room for another request
    When a new connection receives 60 KiB
    Then the new connection is ended, and no other

  Scenario: A sweep ends what stands still while paused connections wait
    Given a budget of 1000 KiB and 100 connections
    And connection 1 is stalled for 3 s and holds 200 KiB
    And connection 2 is paused and holds 250 KiB
    When a sweep follows after 0 s
    Then connection 1 is the first that is ended, with the reason "stalled"
    And none is paused any more

  Scenario: A caller that reads nothing is cut, also with room left
    Given a budget of 1000 KiB and 100 connections
    And connection 1 is unread for 0 s and holds 20 KiB
    When a sweep follows after 29 s
    Then none is paused and none is ended
    When a sweep follows after 2 s
    Then connection 1 is the first that is ended, with the reason "unread_timeout"

  Scenario: A caller that reads slowly isn't cut
    Given a budget of 1000 KiB and 100 connections
    And connection 1 is unread for 0 s and holds 20 KiB
    When its caller reads 1 KiB and a sweep follows, 10 times, every 29 s
    Then none is paused and none is ended

  Scenario: One connection too many closes the one that has been idle longest
    Given a budget of 1000 KiB and 3 connections
    And connection 1 is idle for 9 s and holds 1 KiB
    And connection 2 is served and holds 1 KiB
    And connection 3 is idle and holds 1 KiB
    When a new connection receives 1 KiB
    Then connection 1 is the first that is ended, with the reason "idle"
    And connection 1 is cut, as it hasn't closed yet

  Scenario: Whatever connections do, together they hold no more than the budget
    When connections open, receive, are served, stand still and close at random
    Then those that aren't served never hold more than half of the budget, and none that is served is ended

  Scenario: The refusal of a body that stands still says that nothing ran
    Given a server that may hold 200 KiB for callers
    When a body stops one byte short of 150000 bytes, and another one comes
    Then the first response has status 503, the outcome "not-run" and Retry-After, and its connection ends without a reset

  Scenario: A caller that doesn't read its response is cut
    Given a server whose response has 8 MiB
    When a caller reads none of it for longer than it may
    Then the connection is closed, and the server holds nothing

  Scenario: Requests sent ahead are freed in the turn in which their connection ends
    Given a server that may hold 1000 KiB for callers
    When 20 callers send 500 requests ahead each, all before the server reads
    Then at no time do more requests wait than twice what the budget has room for

  Scenario Outline: Callers' connections are too many before no descriptor is left to accept one
    Given a node whose process may open <descriptors> descriptors
    Then it closes idle connections beyond <connections>

    Examples:
      | descriptors | connections |
      | 1024        | 768         |
      | 4096        | 3000        |
      | unlimited   | 3000        |

  Scenario: A paused connection whose last request is being served isn't ended
    Given a budget of 1000 KiB and 100 connections
    And connection 1 is served and holds 250 KiB
    When connection 1 sends ahead and holds 360 KiB
    Then connection 1 is paused, and no other
    When the request that connection 1 sent ahead is served
    And a sweep follows after 0 s
    Then connection 1 isn't ended

  Scenario: Idle connections with TLS stay open with the default settings
    Given a server with TLS and the default settings
    When 150 callers send a body of 100000 bytes each and stay idle
    Then none of their connections is ended, and the server received 32768 bytes at most at once
