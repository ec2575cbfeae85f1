Feature: Compiled documents
  A change recompiles only the affected parts, in short steps. Each request sees the routes and limits
  of a single version.

  Scenario: Incremental compilation gives the same result as a compilation from scratch
    When 60 random series of section changes are compiled change by change
    Then each version has the same routes, services and workspaces as a compilation from scratch

  Scenario: A change of one section takes few steps compared with the whole document
    Given a document of 50 sections with 100 routes and 500 workspaces each
    When one section changes
    Then its compilation takes at most a fifth of the steps of the whole document
    And no step decodes more than 500 items

  Scenario: A change doesn't affect a version in use
    Given a document of 2 sections with 3 routes and 3 workspaces each
    When one section changes
    Then the earlier version still has its routes and limits

  Scenario: A route gets the new policy of a service that another team changed
    Given a section with a route to a service of another section
    When the other section changes the service
    Then the route has the new policy of the service
