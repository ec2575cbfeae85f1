Feature: Services whose targets shed as a whole
  Most targets of a service refuse about half of their requests for some seconds. More requests want
  to be sent again than the retry budget of the fleet allows, and each front's own part of it is a few.
  The host that selects the service's targets then grants retries for all fronts that ask it.

  Scenario Outline: A service sheds as a whole while most targets that were heard of do
    Given a service that <before>
    When <shedding> of <heard> targets that were heard of shed <share> of 100 attempts
    Then the service <after>

    Examples:
      | before                   | shedding | heard | share | after                    |
      | sheds as a whole not yet | 0        | 10    | 55    | sheds as a whole not yet |
      | sheds as a whole not yet | 5        | 10    | 55    | sheds as a whole not yet |
      | sheds as a whole not yet | 6        | 10    | 55    | sheds as a whole         |
      | sheds as a whole not yet | 6        | 10    | 10    | sheds as a whole not yet |
      | sheds as a whole not yet | 2        | 2     | 55    | sheds as a whole not yet |
      | sheds as a whole         | 3        | 10    | 55    | sheds as a whole         |
      | sheds as a whole         | 2        | 10    | 55    | sheds as a whole not yet |

  Scenario: What a target sheds is known apart from its faults, and forgotten
    When a target sheds every second of 20 attempts
    Then it reports that it sheds 40 to 50 of 100, and a risk of a fault of at most 0.3
    And it still admits an attempt with a limit of 0.35 if sheds are load, and not otherwise
    And 20 s later it reports that it sheds nothing

  Scenario: Fronts spend their parts of the budget together
    Given 10 fronts, each with a budget of 2 retries in 10 s
    When each front has asked once, and the first front asks until it is denied
    Then 20 retries are granted
    And the denial names a time of 0.1 s to 10 s

  Scenario: What a front granted itself isn't granted once more
    Given 10 fronts, each with a budget of 2 retries in 10 s
    And each of them granted 1 retry itself
    When each front has asked once, and the first front asks until it is denied
    Then 10 retries are granted

  Scenario: Less urgent requests leave some of the budget to the others
    Given 10 fronts, each with a budget of 10 retries in 10 s
    When 20 requests of rank 1 have asked, and requests of rank 2 ask until they are denied
    Then 50 retries of rank 2 are granted
    And requests of rank 1 are granted 30 more

  Scenario: A request waits for a retry only if it has the time
    Given 10 fronts, each with a budget of 10 retries in 10 s
    When the budget is spent
    Then a request that can wait 0.05 s is denied
    And 10 requests that can wait 1 s are told to wait, each longer than the last
    And the next one that can wait 1 s is denied

  # Guards against a budget that begins anew with each host that grants: a host that takes over knew of nothing.
  Scenario: Another host that takes over counts what the first one granted
    Given 10 fronts, each with a budget of 2 retries in 10 s
    When each front has asked once, and the first front asks until it is denied
    And another host takes over, and each front asks once
    Then 20 retries are granted

  # 51 of 56 targets shed 55 of 100 requests for 8.5 s, at 150 requests/s of two ranks.
  Scenario: Callers of a service that sheds as a whole get more, within the budget
    When 51 of 56 targets shed, without and with a plan for their service
    Then with the plan at least 0.8 of the urgent requests are served, and 0.1 more of all
    And before the targets shed as many are served with it as without
    And after it at least 0.99 of all are served
    And no window uses more than the budget
    And each target that doesn't shed gets requests in every 2 s

  Scenario: Where few targets shed the plan changes nothing
    When 12 of 56 targets shed, without and with a plan for their service
    Then each request ends alike with and without the plan

  Scenario Outline: The budget holds while <what>
    When 51 of 56 targets shed, and 4 s after their start <what>
    Then no window uses more than the budget
    And at least 0.65 of all requests are served while they shed

    Examples:
      | what                                    |
      | all hosts that grant retries begin anew |
      | a third of the fronts begin anew        |
      | the hosts that grant retries are silent |

  Scenario Outline: A request that a target shed gets what the joint budget decides
    Given a front whose targets shed the first attempt, of a service that sheds as a whole
    When a request comes while the joint budget answers "<answers>"
    Then the request ends as "<end>" after <attempts> attempts, <after> later

    Examples:
      | answers              | end               | attempts | after |
      | granted              | served            | 2        | 0 s   |
      | wait 0.4, granted    | served            | 2        | 0.4 s |
      | wait 0.4, denied 3.2 | 503, again in 4 s | 1        | 0.4 s |
      | denied 0.3           | 503, again in 1 s | 1        | 0 s   |
      | none                 | served            | 2        | 0 s   |

  Scenario: Fronts ask for retries over the channel on which they ask for targets
    Given a host that grants retries, and one that knows no joint budgets
    When a front asks each for 3 retries of a budget of 2
    Then the first grants 2 and denies 1, and the second decides nothing
