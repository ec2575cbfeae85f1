Feature: Dump
  An operator reads the whole state of a process page by page, and it explains the decisions of the process.

  Scenario: At full fleet size the size of a page is bounded, and each entry is in exactly one page
    Given a front whose table has 3300 hosts with 29700 targets in 1400 services
    And 330000 workspaces with rate limited requests, and retry budgets for all services
    When an operator reads its dump and all pages
    Then the dump and each page have at most 100 entries of a list and 400000 bytes
    And no page reads more than 3300 keys, or more than two shards of buckets
    And each host, service with an ejection, bucket and budget is in the pages exactly once

  Scenario: An entry that stays in a list is read once, while others are added and removed between pages
    Given random lists with one or several parts, which change between pages
    Then each entry that stayed throughout is in exactly one page

  Scenario: The dump alone explains a refused request
    Given a workspace with 1 request per second and a burst of 2
    When it sends 3 requests at the same time
    Then the dump names the workspace, its limit, its bucket and the wait of the refused request

  Scenario: The dump alone explains a denied retry
    Given a service with a retry share of 0 and a retry floor of 1
    When 2 retries are requested
    Then the dump names the service, its budget and the retries spent when the second was denied

  Scenario: The dump alone explains an ejection, and one that the floor prevented
    Given a front with 4 targets of a service whose floor is 0.7
    When two of them are reported as unhealthy, the second with the weaker evidence
    Then the dump names the ejected target, the spared one, their evidence, the floor and the slots

  Scenario: Pages need the same permission as the dump, and errors name their cause
    Given a front with 4 targets of a service whose floor is 0.7
    Then requests for pages get these responses
      | token     | path                     | status | code              |
      | none      | /v1/dump/target_table/hosts | 401 | unauthenticated   |
      | operators | /v1/dump/target_table/loaves | 404 | list_unknown     |
      | operators | /v1/dump/nobody/hosts    | 404    | list_unknown      |
      | operators | /v1/dump/traffic_gate/hosts | 404 | list_unknown      |
      | operators | /v1/dump/target_table/hosts?part=x | 400 | malformed_request |
      | operators | /v1/dump/target_table/hosts?part=0&after=h1 | 200 |      |
    And the dump holds no token

  Scenario: "samphirectl dump" shows all pages as tables
    Given a front whose table has 250 hosts with 2250 targets in 100 services
    When an operator reads its dump and all pages
    Then its tables have a row for each of the 250 hosts

  Scenario: When all buckets are in use, one more workspace doesn't cause a search through all of them
    Given a limiter whose buckets are all in use and none is full
    When 1000 more workspaces send requests at the same time
    Then no shard is searched for full buckets, and the number of buckets stays the same
    And a workspace that arrives once they are full gets a bucket after one search
