Feature: Withdrawn API keys in a running fleet
  Runs real processes. Guards against a node that goes on running requests with a key that was withdrawn
  while the node was frozen or couldn't reach the control hosts.

  Scenario: A node that was frozen while a key was withdrawn
    Given a running fleet whose requests need keys, with leases of 2 s
    Then requests with the keys "k-old" and "k-kept" are served by "node-alta-1"
    When "node-alta-1" is frozen, the key "k-old" is withdrawn, and 3 s pass
    And 20 requests with the key "k-old" are sent to "node-alta-1", and it wakes
    Then none of these requests ran
    And within 10 s requests with the key "k-kept" are served by "node-alta-1"
    And requests with the key "k-old" are refused with 401

  Scenario: A node that is cut off from the control hosts while a key is withdrawn
    Given a running fleet whose requests need keys, with leases of 2 s
    When "node-alta-1" is cut off from the control hosts, and the key "k-old" is withdrawn
    Then 2.2 s after the acknowledgement no request with the key "k-old" runs at "node-alta-1"
    And requests with the key "k-kept" are refused there with 503 "key_lease_expired"
    And requests with the key "k-kept" are served by "node-mani-1"
    When the node can reach the control hosts again
    Then within 10 s requests with the key "k-kept" are served by "node-alta-1"
    And requests with the key "k-old" are refused with 401
