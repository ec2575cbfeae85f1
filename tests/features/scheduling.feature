Feature: One host selects the targets of a service for its neighbours
  What one front sees of a target is old in a large fleet. The fronts of a failure domain or region
  therefore ask the table of one host. It only advises: without it, each front selects on its own.

  Scenario Outline: Fronts find the host to ask by the targets near them
    Given hosts with <own> targets in failure domain r1/a and <other> in r1/b
    And 3 more targets in region r2
    When the fronts in r1/a find the host that selects for service "s"
    Then all find the same host, which is <where>

    Examples:
      | own | other | where               |
      | 6   | 6     | in r1/a             |
      | 5   | 40    | in region r1        |
      | 0   | 1     | in r1/b             |
      | 0   | 0     | none                |

  Scenario: The host to ask stays the same while others leave
    Given hosts with 10 targets in failure domain r1/a and 0 in r1/b
    When each host but the one to ask leaves in turn
    Then the host to ask is the same as long as 6 targets are left

  Scenario: Fronts that ask one host share its targets without collisions
    Given a host that selects among 10 targets with 1 slot each
    When 2 fronts select 5 targets each at the same time
    Then the 10 targets are distinct

  Scenario Outline: Targets that were selected for a front become free again
    Given a host that selects among 10 targets with 1 slot each
    When a front selects 10 targets, and then <end>
    And 2 fronts select 5 targets each at the same time
    Then the 10 targets are distinct

    Examples:
      | end                                                       |
      | its attempts end                                          |
      | its channel ends                                          |
      | its host starts again, with its earlier channel left open |

  # Guards against targets that count as full for good: a host that has lost power, or was cut off, closes no
  # connection, so that what its front had selected stayed counted.
  Scenario: The channel of a front that has gone without closing it ends
    Given a host that serves links
    When a front opens a connection to it
    Then the host's kernel closes the connection 8 s to 15 s after the front's host was lost

  # Guards against targets that get nothing, though their node is back, until the registry's changes have come.
  Scenario Outline: A host that selects for others hears of a target that is usable again from the target's host
    Given a host that selects among 10 targets with 1 slot each
    And the registry has <registry>
    When the host of the tenth target presents it as serving, with <order>
    And 2 fronts select 5 targets each at the same time
    Then the 10 targets are <distinct>

    Examples:
      | registry                        | order                   | distinct     |
      | the tenth target as draining    | a later start           | distinct     |
      | the tenth target as draining    | the same start and number | not distinct |
      | no host of the tenth target     | a later start           | not distinct |

  Scenario: A host presents itself once for each target that becomes usable
    Given a host with one target, which serves
    Then it presents itself when its target is "new", "drained and back" and "ejected and back"
    And not when its target is "as before", "ejected" or "gone"

  # Guards against a table that stays behind its inbox: it made each selection in full, also for fronts that had
  # stopped waiting and selected by their own tables.
  Scenario: A selection that nobody waits for any more isn't made
    Given a host that selects among 10 targets with 1 slot each, and whose table stands still
    When 5 selections are asked for, 20 are asked for and given up, and the table goes on
    Then it evaluates its targets 5 times

  Scenario: A front passes on what its attempts show of a target
    Given a host that selects among 10 targets with 1 slot each
    When a front selects a target and learns that it is in a fault
    Then the host selects other targets for the other fronts

  # Guards against costs that only the host that selects knows, so that they are lost with it.
  Scenario: The host that selects and the front both learn costs, and the front goes on without the host
    Given a host that selects among 10 targets with 1 slot each, by work
    When a front's request of a kind runs for 0.5 s
    Then the host expects 0.5 s for the next request of the kind, and so does another front
    And when the host's table stands still, the first front still expects 0.5 s

  Scenario: Without a reply in time a front selects by its own table
    Given a host that selects among 10 targets with 1 slot each, and whose table stands still
    When a front selects 8 targets one after the other
    Then each is selected within 0.5 s, and all but the first within 0.05 s
    And when the host's table goes on, 2 fronts that select 5 targets each get distinct ones

  Scenario: Without a connection a front selects by its own table
    Given a host that selects among 10 targets with 1 slot each, and that can't be reached
    When a front selects 8 targets one after the other
    Then each is selected within 0.5 s, and all but the first within 0.05 s

  Scenario: A host that selects for others explores each target that it hasn't heard of, and no other
    Given 4 targets heard of 0.2 s ago, one heard of 5 s ago and one that is new, all in one domain
    When a target is selected for a read and one for an action every 25 ms for 7 s
    Then the new one is explored first, both others by 9 to 11 reads each, and neither by an action

  # Guards against sound targets that get nothing for seconds, while the few that carry all actions fail.
  Scenario: Most sound targets of a region get requests while most of its requests are actions
    Given a region with 12 targets of 10 slots, of which 10 % are in faults of 5 s
    When its fronts send 24 actions of 0.86 s and 5.7 reads of 0.21 s a second for 60 s
    Then in 95 % of all windows of 2 s at least 70 % of the sound targets get requests
    And at most 3 % of the actions and 1 % of the reads fail

  Scenario: A host that selects for others explores nothing while it has heard of all targets
    Given 6 targets heard of 0.2 s ago, of which one has the lowest risk
    When 2000 targets are selected for reads, and 2000 for actions
    Then that target is selected for all of them
