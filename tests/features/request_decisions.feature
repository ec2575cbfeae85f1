Feature: Decisions about one request
  Whatever the results of its attempts, a caller receives its own complete response or the correct
  outcome.

  Scenario: Random requests with refusals, failures, delays, truncated and mixed-up responses
    When 400 random runs of idempotent requests pass through a front
    And 400 random runs of actions pass through a front
    Then every caller received its own complete response, an aborted connection or the correct outcome
    And no action ran twice and no request exceeded its limit of attempts

  Scenario Outline: Retries do not multiply the load on an unhealthy pool
    When <requests> requests at <rate> per second are sent to a pool where every attempt ends as "<result>"
    Then attempts per request stay below <bound>

    Examples:
      | requests | rate | result      | bound |
      | 2000     | 50   | fail        | 1.11  |
      | 2000     | 50   | refuse      | 2.11  |
      | 2000     | 50   | not_started | 2.11  |
      | 40       | 0.5  | fail        | 1.35  |
      | 2000     | 50   | stall       | 1.11  |

  Scenario: The retries of many idle fronts stay a small share of all requests
    When each of 3300 fronts has 4 requests in a minute, all of which fail
    Then retries are between 0.09 and 0.12 of all requests

  Scenario Outline: One stalled target of 12 causes no failed reads
    When 2000 reads at 200 per second <hedging> are sent to 12 targets of which one stalls
    Then every read receives its response within its deadline of 2 s, with at most 1.11 attempts per request

    Examples:
      | hedging                        |
      | without hedges                 |
      | with an exhausted hedge budget |

  Scenario Outline: Time after which an attempt counts as stalled
    Then with <remaining> ms remaining and a pool p97 of <p97> an attempt counts as stalled after <limit>

    Examples:
      | remaining | p97     | limit   |
      | 2050      | unknown | 1000 ms |
      | 2050      | 20 ms   | 180 ms  |
      | 2050      | 500 ms  | 1000 ms |
      | 150       | 20 ms   | 50 ms   |
      | 50        | 20 ms   | no time |

  Scenario: A slow pool still serves reads when the retry budget is exhausted
    When 500 reads are sent to a pool that takes 1500 ms
    Then every read receives its response within its deadline of 2 s, with at most 1.2 attempts per request

  Scenario: A retry hint beyond the wait budget fails the request immediately
    When a request is refused as "rate_limited" with a retry hint of 21000 ms
    Then it failed after 1 attempt within 100 ms with "rate_limited", outcome "not-run" and a retry delay of 21 s

  Scenario: An action skips unreachable targets without delay, as nothing ran on them
    When an action is sent to 4 unreachable targets before one that responds
    Then it receives its response after 5 attempts within 20 ms

  Scenario: Waits for capacity aren't charged to the budget for rate limits
    When a request is refused as "no_slot" with 700 ms, "rate_limited" with 1500 ms and "no_slot" with 700 ms
    Then it failed after 3 attempts within 2500 ms with "refused", outcome "not-run" and a retry delay of 1 s

  Scenario: Retries that follow hints lose fewer calls of a burst than plain retries
    When 72 concurrent calls pass through a limiter of 8 calls per second with a burst of 40
    Then retries that follow hints lose 0 calls and at least 5 fewer than plain retries, with fewer attempts

  Scenario: Helper requests are retried at most once and never hedged
    When 50 helper requests are sent to a pool where every attempt ends as "fail"
    Then no helper request made more than 2 attempts and none was hedged

  Scenario: A hedge replaces the slow first attempt of a read
    When 10 hedged reads are sent to a first target that never responds
    Then each received one response after about 102 ms, and each slower attempt was cancelled

  Scenario: A front that is itself slow starts no attempts in parallel with the first
    When 10 hedged reads wait 500 ms for the selection of a target
    Then each received one response after 1 attempt

  Scenario Outline: The error of a read without a response says what it waited for
    When 10 hedged reads wait <delay> ms for the selection of a target that never responds
    Then each failed with "deadline_expired" and a detail that contains "<wait>"

    Examples:
      | delay | wait                         |
      | 3000  | before a target was selected |
      | 1900  | while an attempt ran         |

  # Guards against requests that a stopping node gives up without saying whether they ran.
  Scenario Outline: A stopping node answers the requests that it can't complete
    When a node stops 1000 ms after it got <request>, while <state>
    Then it failed after 1000 ms with "node_stopping" and outcome "<outcome>"

    Examples:
      | request              | state                                 | outcome |
      | a read               | its attempt runs                      | unknown |
      | an action            | its attempt runs                      | unknown |
      | an action with a key | its attempt runs                      | unknown |
      | a read               | it waits after a refusal              | not-run |
      | an action            | it waits after a refusal              | not-run |
      | a read               | it waits after a failed attempt       | unknown |
      | an action            | it waits for the selection of a target | not-run |

  # An earlier request with the same key may have run, which only the ledger knows.
  Scenario Outline: A request that comes after a stopping node has ended the others isn't started
    When a node stops, and gets <request> afterwards
    Then it failed after 0 ms with "node_stopping" and outcome "<outcome>"
    And no attempt was made

    Examples:
      | request              | outcome |
      | a read               | not-run |
      | an action            | not-run |
      | an action with a key | unknown |

  Scenario Outline: Both responses of a hedged read arrive at the same time
    When 50 hedged reads receive two "<kind>" responses at the same time
    Then each caller received the complete response of one attempt

    Examples:
      | kind      |
      | answer    |
      | long      |
      | duplicate |

  Scenario: A late response of an earlier attempt is dropped
    When an attempt has responded and the response of an earlier attempt arrives later
    Then the earlier attempt ends as "cancelled" and the caller received one complete response

  Scenario: A front limits a workspace and reports a retry delay
    When workspace "a" sends 30 concurrent requests with a limit of 10 per second and a burst of 20
    Then 20 requests were served and 10 were refused with "rate_limited", outcome "not-run" and a retry delay of 1 s

  Scenario Outline: A refusal before the ledger is queried makes no statement about earlier requests with the key
    When <kind> <state>
    Then it is refused with "<code>" and the outcome "<outcome>"

    Examples:
      | kind                   | state                          | code         | outcome |
      | an action with a key   | exceeds a rate limit           | rate_limited | unknown |
      | an action without one  | exceeds a rate limit           | rate_limited | not-run |
      | a read with a key      | exceeds a rate limit           | rate_limited | not-run |
      | an action with a key   | arrives before any document    | no_document  | unknown |
      | an action without one  | arrives before any document    | no_document  | not-run |
      | an action with a key   | arrives at an overloaded front | overloaded   | unknown |
      | an action without one  | arrives at an overloaded front | overloaded   | not-run |

  Scenario: Callers without a workspace are limited by address
    When 3 callers without a workspace send 30 concurrent requests each with a limit of 10 per second and a burst of 20
    Then 20 requests of each caller were served and 10 were refused with "rate_limited"
