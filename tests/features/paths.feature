Feature: Path failures between a front and a host
  A front avoids a host that it can't reach, whichever direction of the path is cut. Other fronts aren't affected.

  Scenario Outline: A host behind a one-way partition is avoided until the path recovers
    Given a front with 4 hosts and a path prober
    When the path "<direction>" host "h1" is cut and an attempt on it ends without a response
    Then the front avoids "h1" and no other host
    And no attempt goes to "h1" while the path is cut, and no target is ejected
    When the path recovers
    Then the front avoids no host within 1.0 s and uses "h1" again

    Examples:
      | direction |
      | to        |
      | from      |

  Scenario: Hosts that a front can't reach use up the share that may be ejected
    Given a front with 4 hosts and a path prober
    When the path "to" host "h1" is cut and an attempt on it ends without a response
    And host "h2" reports its target as unhealthy
    Then the target of "h2" is spared, because of the floor of 0.7

  Scenario: Control and two nodes fail together
    Given a front with 4 hosts and a path prober
    When control fails, and "h1" and "h2" stop responding
    Then 40 requests all go to "h0" and "h3"
