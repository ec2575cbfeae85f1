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
      | bodies in chunks of one byte                                  |
      | all of these together                                         |

  Scenario: Fronts whose crowds use the same targets
    Given a running Wheatsheaf fleet whose nodes may hold 24 MiB and 300 connections for callers
    When a crowd sends all of these together to every node
    Then an ordinary read is answered while the crowd's connections are open
    And every process lives, within 24 MiB and 400 descriptors above what it had at rest
    When the crowd closes its connections
    Then an ordinary read is answered
    And every process lives, within 24 MiB and 400 descriptors above what it had at rest

  Scenario Outline: A process lives through a crowd at a port that isn't meant for callers
    Given a running Wheatsheaf fleet whose nodes may hold 24 MiB and 300 connections for callers
    When a crowd sends all of these together to <port> of <process>
    Then an ordinary read is answered while the crowd's connections are open
    And <process> serves its own clients
    And every process lives, within 24 MiB and 400 descriptors above what it had at rest
    When the crowd closes its connections
    Then an ordinary read is answered
    And every process lives, within 24 MiB and 400 descriptors above what it had at rest

    Examples:
      | process      | port            |
      | node-alta-1  | local_listen    |
      | node-alta-1  | link_listen     |
      | node-alta-1  | metrics_listen  |
      | control-1    | operator_listen |
      | control-1    | link_listen     |
      | control-1    | metrics_listen  |

  Scenario Outline: A control host of the platform lives through a crowd of configurations
    Given a running control host of the platform
    When a crowd sends it 60 configurations of 8 MB each, <form>
    Then a configuration is accepted while the crowd's connections are open
    And the control host lives within 296 MB
    When the crowd closes its connections
    Then a configuration is accepted
    And the control host lives within 296 MB

    Examples:
      | form            |
      | whole           |
      | piece by piece  |
      | in large chunks |

  Scenario: A single long body passes in calm
    Given a running Wheatsheaf fleet whose nodes may hold 24 MiB and 300 connections for callers
    When an ordinary caller sends a body of 16 MiB
    Then it arrives whole at a target
    And every process lives, within 24 MiB and 400 descriptors above what it had at rest

  Scenario: A single body in chunks of one byte passes in calm
    Given a running Wheatsheaf fleet whose nodes may hold 24 MiB and 300 connections for callers
    When an ordinary caller sends 200000 chunks of one byte
    Then it arrives whole at a target
    And every process lives, within 24 MiB and 400 descriptors above what it had at rest
