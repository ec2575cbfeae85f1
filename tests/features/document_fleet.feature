Feature: The document in a running fleet
  Real processes: changes come into force at every node although control hosts and nodes are killed.

  Scenario: Two teams edit while the leading control host is killed
    Given a fleet whose nodes have data folders
    When teams "recipes" and "orders" each make 15 changes, each through its own control host
    And the leading control host is killed after 5 changes of each team
    Then every change was accepted once, and the history has the changes in order
    And a resend of every change gets its first response
    And the newest version is in force at every node
    When the killed control host starts again
    Then it has the same document as the other control hosts

  Scenario: Nodes start with the newest document while every control host is down
    Given a fleet whose nodes have data folders
    When team "recipes" makes 2 changes, which come into force at every node
    And every control host is killed
    And the node with a data folder is killed and starts again
    And the node without a data folder is killed and starts again with a peer in its settings
    Then both nodes have the newest document in force

  # Guards against a key that is in use again once the processes that know of its withdrawal restart.
  Scenario: A withdrawn token stays withdrawn while all control hosts restart
    Given a fleet whose nodes have data folders
    When the operators replace the token of team "recipes", and every control host rejects the old one
    And every control host is killed and starts again
    Then no control host accepts the old token until each has accepted the new one

  Scenario: Exit statuses of samphirectl
    Given a fleet whose nodes have data folders
    Then "samphirectl" exits with these statuses
      | team      | command                                                | status |
      | recipes   | section recipes                                        | 0      |
      | recipes   | put recipes {recipes} --base 1 --change-id a --wait    | 0      |
      | recipes   | put recipes {recipes} --base 1 --change-id a           | 0      |
      | recipes   | put recipes {recipes} --base 1 --change-id b           | 3      |
      | recipes   | put recipes {invalid} --base 2                         | 4      |
      | orders    | put recipes {recipes} --base 2                         | 5      |
      | nobody    | document                                               | 5      |
      | recipes   | status                                                 | 5      |
      | operators | status                                                 | 0      |
      | operators | hosts                                                  | 0      |
      | operators | dump                                                   | 0      |
      | operators | dump --host host-alta-1                                | 0      |
      | operators | dump --host nowhere                                    | 6      |
      | operators | drain-target orders-alta-1-1                           | 0      |
      | operators | drain-target nothing                                   | 6      |
      | operators | history --section recipes                              | 0      |
      | recipes   | diff recipes --from 1 --to 2                           | 0      |
      | recipes   | put recipes {missing} --base 2                         | 2      |
    # A drain that ended with the node's process would put a target to use that operators took out.
    And a drained target rejects requests until the drain ends, also after its node was killed
    And "samphirectl" without a reachable control host exits with 7
