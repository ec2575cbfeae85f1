Feature: API keys of workspaces
  A request runs only with a key that a workspace holds, as a request of that workspace. Guards against
  requests that claim another workspace, keys that reach backend servers, and documents whose last key
  was taken away and that would let every request run.

  Scenario Outline: What a request's key decides
    Given a document in which "acme" holds the keys "k1" and "k2", and "idle" holds none
    When a request <comes>
    Then it <ends>

    Examples:
      | comes                                                    | ends                           |
      | comes with the key "k1"                                  | runs for the workspace "acme"  |
      | comes with the key "k2"                                  | runs for the workspace "acme"  |
      | claims "idle" and comes with the key "k1"  | runs for the workspace "acme"  |
      | comes with the key "k3"                                  | is refused with 401, not run   |
      | comes without a key                                      | is refused with 401, not run   |
      | comes with an empty key                                  | is refused with 401, not run   |
      | comes with a key of 10000 characters                     | is refused with 401, not run   |
      | comes with the keys "k1" and "k1"                        | is refused with 401, not run   |
      | comes with the keys "k3" and "k1"                        | is refused with 401, not run   |
      | for an exempt route comes with the key "k1"              | runs without a workspace       |
      | for an exempt route comes with the key "k3"              | runs without a workspace       |
      | for an exempt route comes without a key                  | runs without a workspace       |
      | for an exempt route claims the workspace "acme"          | runs without a workspace       |

  Scenario: A workspace's rank replaces the route's, and only where it has one
    Given a document in which "acme" holds the keys "k1" and "k2", and "idle" holds none
    Then attempts for a route of rank 7 have rank 3 for a workspace of rank 3, and 7 for one without

  Scenario: A request of a document without keys remains as it was
    Given a document without keys
    When a request claims "acme" and comes with the key "k1"
    Then the request is passed on unchanged

  Scenario: Requests need a key even after the last one was taken away
    Given a document without keys that requires them
    When a request comes without a key
    Then it is refused with 401, not run

  Scenario: Keys move between workspaces and sections
    When 60 random series of changes move keys between the workspaces of 3 sections
    Then after each change every key belongs to the workspace that holds it, and to no other

  Scenario Outline: A document whose keys are ambiguous or whose workspace can't be named is rejected
    When a document is checked in which <fault>
    Then it is rejected, and a problem says "<problem>"

    Examples:
      | fault                                            | problem                                    |
      | two workspaces of a section hold the same key    | an API key also belongs to workspace a     |
      | workspaces of two sections hold the same key     | an API key also belongs to a workspace of  |
      | the id of a workspace with a key contains a line | isn't visible ASCII                        |

  Scenario: A section that another one's key moves to replaces it only after it was given up
    Then a section can't take a key that another section's workspace holds until that one gives it up
