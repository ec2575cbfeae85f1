Feature: Accepting connections without free descriptors
  A process that has used up its descriptors can't accept more connections. It has to wait for free ones, and to serve what it has accepted.

  # Guards against a listener that fails, reports and restarts itself ever more often until descriptors are free.
  Scenario Outline: A server without free descriptors waits for some
    Given a server for <kind> in a process that has 5 descriptors left
    When 40 connections are opened and 3.5 s pass
    Then at most 8 tries to accept a connection failed
    And the log has between 1 and 8 lines "descriptors_exhausted"
    And the process used less than 0.5 s of processor time
    And within 3 s after the connections are closed a new one is accepted

    Examples:
      | kind     |
      | requests |
      | links    |

  # Guards against accepted requests that can't be served, since callers hold all descriptors.
  Scenario: Connections of callers leave descriptors for those that serve them
    Given a server for requests in a process that has 200 descriptors left
    When 220 connections are opened and 1.5 s pass
    Then the process could open at least 20 more descriptors
    And within 3 s after the connections are closed a new one is accepted

  # Guards against a step that grows with the number of connections that wait.
  Scenario Outline: Many connections that wait are accepted in several steps
    Given a server for <kind> in a process that has 1000 descriptors left
    When <count> connections are opened and 1.5 s pass
    Then <count> connections were accepted, at most 64 of them in one step

    Examples:
      | kind     | count |
      | requests | 300   |
      | links    | 100   |
