Feature: Decoding of untrusted bytes
  Documents, settings and link messages decode to a value, or give an error with a code.

  Scenario: Random texts as documents
    When 300 random texts are read as documents
    Then each gives a document or "document_invalid" with at least one problem

  Scenario: Random texts as settings
    When 200 random texts are read as settings
    Then each gives settings or "settings_invalid"

  Scenario: Random messages to a link server
    When 100 random messages are sent to a link server
    Then each gets a reply or "link_message_invalid"
