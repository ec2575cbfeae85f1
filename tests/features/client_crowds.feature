Feature: Crowds of clients that nobody controls end no process
  Each of these clients stays inside the limits of the pages. Together they ended a process: bodies
  that stop one byte before their end, requests that are sent ahead and answers that nobody reads
  were all kept, without a bound for the process. A client may be refused or closed; the process has
  to live, to stay within its memory and descriptors, and to serve an ordinary caller.

  Scenario Outline: A process lives through a crowd and serves an ordinary caller
    Given a running Wheatsheaf fleet whose nodes may hold 24 MiB and 300 connections for callers
    When a crowd sends <crowd> to node "node-alta-1"
    Then an ordinary read is answered while the crowd's connections are open
    And every process lives, within 24 MiB and 400 descriptors above what it had at rest
    When the crowd closes its connections
    Then an ordinary read is answered
    And every process lives, within 24 MiB and 400 descriptors above what it had at rest

    Examples:
      | crowd                                                         |
      | many reads sent ahead on few connections, with unread answers |
      | large bodies sent whole                                       |
      | large bodies sent piece by piece                              |
      | bodies in large chunks                                        |
      | bodies in very small chunks                                   |
      | all of these together                                         |

  Scenario: A single long body passes in calm
    Given a running Wheatsheaf fleet whose nodes may hold 24 MiB and 300 connections for callers
    When an ordinary caller sends a body of 16 MiB
    Then it arrives whole at a target
    And every process lives, within 24 MiB and 400 descriptors above what it had at rest
