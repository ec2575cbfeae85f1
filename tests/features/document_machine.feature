Feature: The state machine of the replicated document
  A change is accepted at most once, its resends get the first result, and it is never reverted.

  Scenario: Random histories of racing teams, resends, snapshots and lossy deltas
    When 150 random histories of the replicated document run
    Then no history breaks an invariant of the document

  Scenario: A rejected change reports every problem with its path
    Given an initialized document
    When team "bread" puts a section with three problems
    Then the change is invalid with the paths
      | path                                |
      | $.bread.services.bread.floor        |
      | $.bread.routes[0].path_prefix       |
      | $.bread.routes[0].retry             |

  Scenario: Deleting a service that another section routes to is rejected
    Given an initialized document
    And team "soup" routes to service "bread"
    When team "bread" deletes its section
    Then the change is invalid with the paths
      | path                      |
      | $.soup.routes[0].service  |

  Scenario: Replacing a section without a service that another section routes to is rejected
    Given an initialized document
    And team "soup" routes to service "bread"
    When team "bread" puts its section with service "rolls" in place of "bread"
    Then the change is invalid with the paths
      | path                      |
      | $.soup.routes[0].service  |

  Scenario: The same route in two sections is rejected
    Given an initialized document
    When team "soup" puts a section with a route of section "bread"
    Then the change is invalid with the paths
      | path              |
      | $.soup.routes[0]  |

  Scenario: A change isn't accepted again after its result was dropped
    Given an initialized document that records the results of 5 changes
    When a change and 6 others are accepted, and the first one is sent again
    Then the resend gets a conflict

  Scenario: A group that has a document ignores another initial document
    Given an initialized document
    When it is initialized again with another document
    Then the first document stays

  Scenario: A restarted replica has the same state as the others after 1000 changes
    Given an initialized document
    When 1000 changes are accepted and a replica restarts from its snapshot and 100 log entries
    Then both replicas have the same document, history and results

  Scenario: A snapshot is restored one section at a time
    Given an initialized document
    When another replica restores its snapshot in steps
    Then each step reads one section at most, and both replicas end with the same document

  Scenario Outline: The first document fixes the layout of the ledger
    Given an initialized document
    When the operators put a fleet section with <field> <value>
    Then the change is rejected because it would move claims
    When the operators put a fleet section with ledger_retention_s 60
    Then the change is accepted and the ledger has 64 shards and 2 groups

    Examples:
      | field         | value |
      | ledger_shards | 128   |
      | ledger_groups | 3     |

  Scenario: A team can't change a section that it doesn't own
    Given an initialized document
    When team "soup" changes section "bread"
    Then the change is forbidden
