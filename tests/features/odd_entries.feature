Feature: One odd entry among those of the targets
  Another writer may leave an entry that is nested too deeply, has a number that is too large, or a
  port that doesn't exist. Such an entry once passed the edge and ended the processes that read or
  encoded it later. It must be rejected alone, and the other entries must stay usable.

  Scenario Outline: An odd heartbeat is rejected and the agent goes on
    When a heartbeat is received in which <fault>
    Then it is rejected with "announcement_invalid" and the agent has no target
    When a heartbeat of "i-1" is received with state "ready", sequence 3 and start 1000
    Then the agent's target "i-1" is "serving"

    Examples:
      | fault                                      |
      | the address is 8,000 nested arrays         |
      | the address is 3,000 nested objects        |
      | the start is 2^70                          |
      | the sequence is 2^64                       |
      | the cold time has 400 digits               |
      | the slots are 10^30                        |
      | the service has 9,000 letters              |

  Scenario Outline: An odd announcement of the project's own protocol is rejected
    When a target is announced with <fault>
    Then the announcement is rejected with "announcement_invalid" and the agent has no target

    Examples:
      | fault                    |
      | port 0                   |
      | port 99999               |
      | no address               |
      | an IP that doesn't exist |
      | a start of 2^70          |
      | a sequence of 2^64       |
      | a name of 9,000 letters  |
      | 2,000 nested arrays      |

  Scenario Outline: The registry and the tables skip one odd record and use the others
    When a host reports a record with <fault> beside 3 sound hosts
    Then only the 3 sound hosts are in the registry, and the reports are answered
    And a target table that gets the odd record in a delta has the 3 sound hosts and selects targets

    Examples:
      | fault                            |
      | a link address with port 99999   |
      | a link address without a port    |
      | a host name of 9,000 letters     |
      | a target name of 9,000 letters   |
      | more free slots than slots       |
      | a negative sequence              |

  Scenario: A deeply nested body of a backend server is a wrong answer, not an error of the agent
    Then a refusal reader and a response inspector read 2,000 nested arrays without an exception
