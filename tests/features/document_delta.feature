Feature: Deltas between versions of the document
  A node accepts only versions above its own, and applies each delta completely or not at all.

  Scenario: A delayed complete document doesn't return a node to an older version
    Given a document of 3 versions
    When a node at version 3 gets the complete document of version 2
    Then the node stays at version 3

  Scenario: A delta with a missing section is rejected
    Given a document of 3 versions
    When a node at version 1 gets the delta to version 3 without one section
    Then the delta is rejected with "delta_invalid"

  Scenario: A delta that starts after the node's version is rejected
    Given a document of 3 versions
    When a node at version 1 gets the delta from version 2 to version 3
    Then the delta is rejected with "delta_invalid"

  Scenario: A deleted section is removed from the nodes
    Given a document of 3 versions
    When section "soup" is deleted and a node at version 1 gets the delta
    Then the node has the sections "access, fleet, bread"

  Scenario: A node whose version is too old for a delta gets the complete document
    Given a document of 3 versions
    When 1001 sections are added and deleted
    Then a node at version 1 gets the complete document

  Scenario: A delta contains only changed sections
    Given a document of 3 versions
    Then the delta from version 2 to version 3 has 1 section

  Scenario: A higher generation replaces the whole document
    Given a document of 3 versions
    When the group is initialized again and a node at version 3 gets its first version
    Then the node has the new generation

  Scenario: A node checks its first document one section at a time
    Given a document of 3 versions
    When a new node applies the complete document in steps
    Then each step has checked at most one section, and the node has the document

  Scenario: A corrupted document file isn't used
    Given a document of 3 versions
    When the document is saved and each byte of its file is corrupted in turn
    Then no corrupted file is loaded as a document
