Feature: Permissions to run requests with API keys that end
  A host may use API keys only for a limited time after its document was confirmed as the newest. Guards
  against hosts that hear nothing of a withdrawn key (cut off, suspended, behind a relay that is cut off)
  and go on running its requests, and against requests that wait while their key is withdrawn.

  Scenario: No host uses a document for longer than a lease after a newer one was acknowledged
    When 400 random histories of changes, delays, losses and relays are simulated with a lease of 4.75 s
    Then no host could use keys of an older document 4.75 s after the acknowledgement of a newer one
    And hosts could use keys in some of them

  Scenario Outline: What extends the lease
    Given a lease of 4.75 s with a document of version 5
    When the events are: <events>
    Then the lease ends at <end> s

    Examples:
      | events                                                                | end  |
      | version 5 is confirmed at 10                                          | 14.75 |
      | version 4 is confirmed at 10                                          | 14.75 |
      | version 6 is confirmed at 10                                          | 0    |
      | version 6 is confirmed at 10, version 6 arrives                       | 14.75 |
      | version 5 is confirmed at 10, version 6 is confirmed at 11            | 14.75 |
      | version 5 is confirmed at 10, version 5 is confirmed at 8             | 14.75 |
      | version 7 is confirmed at 12, version 6 is confirmed at 11, version 6 arrives | 15.75 |
      | version 7 is confirmed at 12, version 6 is confirmed at 11, version 7 arrives | 16.75 |

  Scenario: A suspension counts
    Given a lease of 4.75 s with a document of version 5
    When its document is confirmed, and the host is suspended for 5 s, in which monotonic time stands still
    Then the host may not use keys

  Scenario Outline: How long hosts may use keys
    Given a failure domain of 5 hosts with leases of 4.75 s
    When they run for 20 s, then <failure>, and they run for 20 s
    Then each of <hosts> may use keys <until>
    And the leader was asked at most <asks> times a second before the failure

    Examples:
      | failure                                       | hosts               | until                          | asks |
      | nothing fails                                 | all hosts           | to the end                     | 1.3  |
      | the failure domain is cut off from control    | all hosts           | for 3.0 to 4.75 s               | 1.3  |
      | each host is cut off from all others          | all hosts           | for 3.0 to 4.75 s               | 1.3  |
      | the relay is cut off in silence         | the other hosts     | to the end                     | 1.3  |
      | the relay and its deputy are cut off in silence            | the other hosts     | to the end                     | 1.3  |
      | the relay is cut off from control only  | all hosts           | to the end                     | 1.3  |
      | the relay and its deputy are cut off from control only     | the other hosts     | to the end                     | 1.3  |
      | the leader moves to another control host      | all hosts           | to the end                     | 1.3  |
      | control is away for 3 s                       | all hosts           | to the end                     | 1.3  |
      | control is away for 8 s                       | all hosts           | for 3.0 to 4.75 s and again     | 1.3  |

  Scenario: A host that is cut off goes on for long enough, whenever that happens
    When a failure domain of 12 hosts with leases of 4.75 s is cut off at 40 moments within 2 s
    Then each host could use keys for 3.2 to 4.75 s after it was cut off
    And each host asked at most 1.3 times a second before

  Scenario: One round of the leader serves all requests that came before it, and none that came later
    Given a leader whose rounds take 0.05 s
    When 40 confirmations are requested within 1 s
    Then each was confirmed by a round that began after the request
    And at most 6 rounds were made

  Scenario: A control host that doesn't lead names the leader
    Given a confirmer on a control host that follows another one
    When a confirmation is requested from it
    Then it names the link of the leader, and confirms nothing

  Scenario Outline: Checks of an attempt against the host's own document and lease
    Given a host with a document of version 5, in which "acme" holds "k1", and its lease is <lease>
    When an attempt of a front with version <version> for "<workspace>" with the key "<key>" is checked
    Then it is <result>

    Examples:
      | lease   | version | workspace | key  | result                    |
      | valid   | 5       | acme      | k1   | let through               |
      | valid   | 4       | acme      | k1   | let through               |
      | valid   | 6       | acme      | k1   | let through               |
      | valid   | 4       | acme      | k2   | refused, api_key_unknown   |
      | valid   | 5       | other     | k1   | refused, stale_document    |
      | valid   | 4       | other     | k1   | refused, stale_document    |
      | valid   | 6       | acme      | k2   | refused, stale_document    |
      | valid   | 6       | other     | k1   | refused, stale_document    |
      | expired | 5       | acme      | k1   | refused, key_lease_expired |
      | expired | 4       | acme      | k2   | refused, api_key_unknown   |
      | expired | 5       |           | none | let through               |

  Scenario: A host without a document lets no attempt with a key through
    Given a host without a document
    When an attempt of a front with version 5 for "acme" with the key "k1" is checked
    Then it is refused, stale_document

  Scenario Outline: A request whose key is withdrawn while it waits doesn't run
    Given an agent with a target that takes requests of "acme" with the key "k1"
    When the key is withdrawn while an attempt waits for <wait>
    Then the attempt is refused as "api_key_unknown", and its target got no byte of it
    And a later attempt with a valid key runs

    Examples:
      | wait         |
      | a free slot  |
      | a connection |

  Scenario Outline: What callers are told after an agent's refusal
    Given an agent refuses an attempt as "<code>"
    Then the front <retries>, and the caller is told <status> "<error>", not run

    Examples:
      | code              | retries                      | status | error           |
      | api_key_unknown   | tries no other target        | 401    | api_key_unknown |
      | key_lease_expired | tries another target at once | 503    | refused         |

  Scenario: A front whose lease has ended refuses requests with keys early, and no others
    Given a front whose host may not use keys
    Then a request with a valid key is refused with 503 "key_lease_expired", not run, with a Retry-After
    And a request with an unknown key is refused with 503 "key_lease_expired", not run
    And a request without a key is refused with 503 "key_lease_expired", not run
    And a request for an exempt route is served

  Scenario Outline: A host rejects keys for good only if its document may be the newest
    A host that started with a document from its disk, or whose document lags behind, would else refuse keys
    that were added long ago as unknown.

    Given a lease of 4.75 s with a document of version 5
    When the events are: <events>
    Then at 12 s the host <may> reject keys that it doesn't know

    Examples:
      | events                                                          | may     |
      | nothing                                                         | may not |
      | version 5 is confirmed at 5                                     | may not |
      | version 5 is confirmed at 10                                    | may     |
      | version 5 is confirmed at 10, version 6 is confirmed at 11      | may not |
      | version 6 is confirmed at 11, version 6 arrives                 | may     |

  Scenario: A front whose host knows of a newer document doesn't refuse keys as unknown
    Given a front whose host may use keys, and knows that a newer document exists
    Then a request with a valid key is served
    And a request with an unknown key is refused with 503 "key_lease_expired", not run

  Scenario Outline: Hosts return to their relay soon after the leader was away
    All hosts of a failure domain ask the leader themselves while their relays know nothing recent. In a
    large fleet that is a hundred times as many asks as else, just when a leader has begun.

    Given a failure domain of 16 hosts with leases of 4.75 s
    When control is away for <away> s after 20 s, and they run for 10 s
    Then from 2 s after its return the leader was asked at most twice as often as before
    And no host lost its lease

    Examples:
      | away |
      | 0.8  |
      | 1.5  |
      | 3    |

  Scenario: An ask that comes just after a round began isn't given up
    Given a failure domain of 5 hosts with leases of 4.75 s
    And the way to control takes 0.06 s
    When they run for 20 s, then nothing fails, and they run for 20 s
    Then no ask of the leader was given up
