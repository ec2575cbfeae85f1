Feature: Operator API
  Operators read and change the document over HTTP; every error has a status and a code.

  Scenario: Nothing is read or changed without a credential
    Given the operator API of one control host
    Then every endpoint rejects a request without a token with 401 "unauthenticated"
    And every endpoint rejects an unknown token with 401 "unauthenticated"
    And the document is unchanged

  Scenario: Operations require the permission to operate
    Given the operator API of one control host
    Then these requests of team "bread" are rejected with 403 "forbidden"
      | method | path                        |
      | GET    | /v1/status                  |
      | GET    | /v1/dump                    |
      | GET    | /v1/hosts                   |
      | GET    | /v1/hosts/h/dump            |
      | GET    | /v1/dump/registry_keeper/hosts |
      | GET    | /v1/hosts/h/dump/target_table/hosts |
      | PUT    | /v1/hosts/h/drain           |
      | PUT    | /v1/targets/t/drain         |
      | GET    | /v1/document/sections/access |

  Scenario: A repeated change gets the response to the first one
    Given the operator API of one control host
    When team "bread" puts its section with base version 1 as change "c1", twice
    Then both responses have status 200 and version 2
    And the history shows team "bread" and change "c1"

  Scenario: A conflicting change gets the version and the team of the accepted change
    Given the operator API of one control host
    When team "bread" puts section "common" with base version 0 as change "c1"
    And team "soup" puts section "common" with base version 0 as change "c2"
    Then version 2 by team "bread" is reported with 409 "version_conflict"

  Scenario: A change id can't be used for two changes
    Given the operator API of one control host
    When team "bread" puts its section with base version 1 as change "c1"
    And team "bread" puts different content with base version 1 as change "c1"
    Then the response is 409 "change_id_reused"

  Scenario: Each problem of an invalid section is reported with its JSON path
    Given the operator API of one control host
    When team "bread" puts a section with two problems
    Then 2 problems below "$.bread" are reported with 422 "document_invalid"

  Scenario: A follower redirects clients to the leader
    Given the operator API of a follower
    When team "bread" puts its section with base version 1 as change "c1"
    Then the response is a redirect to the leader

  Scenario: A section is compared with an earlier version
    Given the operator API of one control host
    When team "bread" puts its section with base version 1 as change "c1"
    Then the diff from 1 to 2 shows the new route

  Scenario: A deleted section is unknown
    Given the operator API of one control host
    When team "soup" deletes its section with base version 1 as change "c1"
    Then reading section "soup" returns 404 "section_unknown"

  Scenario: Progress counts the hosts that have a version in force
    Given the operator API of one control host
    When 3 hosts of a domain are in the registry and 2 report version 2
    Then version 2 is in force on 2 of 3 hosts and not complete
    And version 2 is complete once the third host reports it

  Scenario: Random requests to the API get errors with a code
    Given the operator API of one control host
    When 300 random requests are sent to the operator API
    Then each response has a status below 500 and every error has a code
