Feature: Selection and limits at the front
  A front uses a bounded subset of a service's targets, and the fronts together use all targets.

  Scenario Outline: Subsets are bounded, and every target is used
    Given <fronts> fronts and <targets> targets in <regions> regions
    When each front chooses its subset of 20
    Then each target is used by at least 2 fronts of its region
    And no front uses more than <most> targets, and each uses its own host's
    And the busiest target is used by at most <busiest> fronts of its region

    Examples:
      | fronts | targets | regions | most | busiest |
      | 12     | 300     | 3       | 92   | 4       |
      | 60     | 300     | 3       | 40   | 20      |
      | 330    | 600     | 6       | 30   | 55      |

  Scenario: A front keeps its subset when a target is removed
    Given 60 fronts and 300 targets in 3 regions
    When each front chooses its subset of 20
    Then a removed target changes only the subsets that contained it, each by at most one other target

  Scenario: The cost of a selection doesn't grow with the number of targets
    When a front selects among 40 and among 4000 targets of a service
    Then it considers no more targets for 4000 than the bound of the subset

  Scenario: Attempts in flight count against free slots until load reports age
    Given a front with reports of 5 free slots on each of 2 targets at the nearest distance
    When it selects 10 times without a response
    Then each target received 5 attempts, and the next selection uses a farther target
    And 3 s after the attempts ended, all slots count as free

  Scenario: Rate limit buckets are created on use, evicted when full, and bounded in number
    Given a limiter that holds 6400 buckets
    When 20000 workspaces make one request each with a limit of 1 per second
    Then at most 6400 buckets are in memory, and none remain 2 s and one sweep later
    And no workspace is granted more than its burst plus its rate over 60 s of random requests

  # Guards against sound targets that get nothing for seconds because the one host that selects for a
  # failure domain leaves them out of its subset.
  Scenario: A host that selects for its neighbours uses every target of its region
    Given 38 fronts in one region, 28 with a target, and 28 targets in another region
    When the host that selects for its failure domain selects among them
    Then it considers all 28 targets of its region, and some of the other
