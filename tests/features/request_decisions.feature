Feature: Decisions about one request
  Whatever becomes of its attempts, a caller gets its own whole answer or a true outcome.

  Scenario: Random requests over random refusals, failures, delays, cuts and swapped attempts
    When 400 random runs of idempotent requests pass through a front
    And 400 random runs of actions pass through a front
    Then every caller got its own whole answer, a cut connection or a true outcome
    And no action ran twice and attempts stayed within their bound

  Scenario Outline: A sick pool is not multiplied
    When <requests> requests at <rate> a second meet a pool where every attempt ends as "<fate>"
    Then attempts per request stay below <bound>

    Examples:
      | requests | rate | fate        | bound |
      | 2000     | 50   | fail        | 1.11  |
      | 2000     | 50   | refuse      | 2.11  |
      | 2000     | 50   | not_started | 2.11  |
      | 40       | 0.5  | fail        | 1.35  |
      | 2000     | 50   | stall       | 1.11  |

  Scenario: Many idle fronts don't add up to a large share
    When each of 3300 fronts has 4 requests in a minute, all of which fail
    Then retries are between 0.09 and 0.12 of all requests

  Scenario Outline: One stalled target of 12 fails no read
    When 2000 reads at 200 a second <hedging> meet 12 targets of which one stalls
    Then every read has its answer inside its deadline of 2 s, with at most 1.11 attempts per request

    Examples:
      | hedging                                   |
      | without hedges                            |
      | with hedges that their budget has used up |

  Scenario Outline: When an attempt counts as stalled
    Then with <left> ms left and a pool's p97 of <p97> an attempt counts as stalled after <limit>

    Examples:
      | left | p97     | limit   |
      | 2050 | unknown | 1000 ms |
      | 2050 | 20 ms   | 180 ms  |
      | 2050 | 500 ms  | 1000 ms |
      | 150  | 20 ms   | 50 ms   |
      | 50   | 20 ms   | no time |

  Scenario: A slow pool still answers when retries are used up
    When 500 reads meet a pool that takes 1500 ms
    Then every read has its answer inside its deadline of 2 s, with at most 1.2 attempts per request

  Scenario: A hint that the wait budget can't pay fails at once
    When a request is refused as "rate_limited" with a hint of 21000 ms
    Then it failed after 1 attempt within 100 ms with "rate_limited", not run, and a wait of 21 s

  Scenario: Targets that can't be reached cost an action no attempt that may run, and no pause
    When an action meets 4 targets that can't be reached before one that answers
    Then it has its answer after 5 attempts within 20 ms

  Scenario: Waits for capacity don't spend the budget for rate limits
    When a request is refused as "no_slot" with 700 ms, "rate_limited" with 1500 ms and "no_slot" with 700 ms
    Then it failed after 3 attempts within 2500 ms with "refused", not run, and a wait of 1 s

  Scenario: The paper's rule against plain retry on one burst
    When 72 calls at once meet a limiter of 8 calls a second with a burst of 40
    Then typed waits lose 0 calls and at least 5 fewer than plain retry, with fewer attempts

  Scenario: Helpers are retried at most once and never hedged
    When 50 helper requests meet a pool where every attempt ends as "fail"
    Then no helper request made more than 2 attempts and none was hedged

  Scenario: The slow first attempt of a read loses to its hedge
    When 10 hedged reads meet a first target that never answers
    Then each got one answer after about 102 ms, and each loser was cancelled

  Scenario: A front that is itself late starts no attempts beside the first
    When 10 hedged reads wait 500 ms for the selection of a target
    Then each got one answer by 1 attempt

  Scenario Outline: A read that got no answer is told what it waited for
    When 10 hedged reads wait <delay> ms for the selection of a target that never answers
    Then each got "deadline_expired" and the detail says "<wait>"

    Examples:
      | delay | wait                         |
      | 3000  | before a target was selected |
      | 1900  | while an attempt ran         |

  Scenario Outline: Both answers of a hedged read come at the same moment
    When 50 hedged reads get two "<fate>" answers at the same moment
    Then each caller got the whole answer of one attempt

    Examples:
      | fate      |
      | answer    |
      | long      |
      | duplicate |

  Scenario: The late answer of an earlier attempt
    When an attempt has answered and an earlier one's answer comes late
    Then the late one ends as "cancelled" and the caller got one whole answer

  Scenario: A front limits a workspace and tells it when to return
    When workspace "a" sends 30 requests at once under a limit of 10 a second with a burst of 20
    Then 20 were served and 10 got "rate_limited", not run, and a wait of 1 s

  Scenario Outline: A refusal before the ledger is asked says nothing of earlier requests with the key
    When <kind> <state>
    Then it is refused with "<code>" and the outcome "<outcome>"

    Examples:
      | kind                   | state                          | code         | outcome |
      | an action with a key   | comes beyond a limit           | rate_limited | unknown |
      | an action without one  | comes beyond a limit           | rate_limited | not-run |
      | a read with a key      | comes beyond a limit           | rate_limited | not-run |
      | an action with a key   | comes before any document      | no_document  | unknown |
      | an action without one  | comes before any document      | no_document  | not-run |
      | an action with a key   | comes to a front that is full  | overloaded   | unknown |
      | an action without one  | comes to a front that is full  | overloaded   | not-run |

  Scenario: Callers without a workspace are limited by their address
    When 3 callers without a workspace send 30 requests each at once under a limit of 10 a second with a burst of 20
    Then 20 were served and 10 got "rate_limited" of each caller
