Feature: A document is checked before it is sent
  A valid document may still hold entries that never have an effect, or limits that contradict each other.

  Scenario Outline: Likely mistakes
    Given a document without likely mistakes
    When <entry> is set to <value>
    Then the check finds "<finding>" at "<path>"

    Examples:
      | entry                                        | value                         | finding                   | path                                         |
      | t.routes.0.host                              | "a.example:80"                | route_never_matches       | $.t.routes[0]                                |
      | t.routes.0.path_prefix                       | "/a?b=1"                      | route_never_matches       | $.t.routes[0]                                |
      | t.routes.0.methods                           | ["get"]                       | route_never_matches       | $.t.routes[0]                                |
      | t.routes.0.aim_ms                            | 6000                          | aim_after_deadline        | $.t.routes[0].aim_ms                         |
      | t.routes.0.retry                             | {"execution_reserve_ms": 5000} | never_retried            | $.t.routes[0].retry.execution_reserve_ms     |
      | t.routes.0.hedge                             | {"enabled": true}             | hedge_without_effect      | $.t.routes[0].hedge                          |
      | t.services.unused                            | {}                            | service_unused            | $.t.services.unused                          |
      | t.services.s.retry_plan                      | "by_service"                  | plan_without_effect       | $.t.services.s.retry_plan                    |
      | t.workspaces.v                               | {}                            | workspace_without_key     | $.t.workspaces.v                             |
      | t.workspaces.w.limit                         | {"requests_per_s": 9, "burst": 9} | limit_above_quota     | $.t.workspaces.w.quota                       |
      | fleet.caller_connections                     | {"idle_timeout_ms": 2000}     | header_timeout_after_idle | $.fleet.caller_connections.header_timeout_ms |

  Scenario: A document without likely mistakes, and its differences from another
    Given a document without likely mistakes
    Then the check finds nothing
    And against one with another deadline, a service more and no workspace it shows
      | change  | entry                             | fields      |
      | changed | route a.example/ (any method)     | deadline_ms |
      | added   | service new                       |             |
      | removed | workspace w                       |             |

  Scenario: The command checks files, of which later ones replace sections
    Given a document without likely mistakes
    When "samphirectl check" runs on its file, and on one more with <content>
    Then it exits with these statuses and says
      | content                             | status | says              |
      | {}                                  | 0      |                   |
      | {"u": {"services": {"idle": {}}}}   | 0      | service_unused    |
      | {"u": {"services": {"idle": 1}}}    | 4      | $.u.services.idle |
      | {"u": {"routes": [{"host": "b", "service": "none"}]}} | 4 | unknown service |
