Feature: TLS from settings
  Processes of the fleet authenticate each other by their certificate authority; operators and callers may use TLS.

  Scenario: A link server with mutual TLS accepts only peers of its authority
    Given two authorities and a link server with mutual TLS
    Then a peer of the same authority gets a reply
    And a peer of another authority is refused
    And a peer without TLS is refused

  Scenario: A renewed certificate is used without a restart
    Given two authorities and a link server with mutual TLS
    When the server's files are replaced and its reloader checks them
    Then the server presents the new certificate
    And a damaged key file doesn't replace the certificate

  Scenario: The operator API is served over TLS
    Given two authorities and the operator API over TLS
    Then a client that trusts the authority reads the document
    And a client that trusts another authority can't read it

  Scenario: A program whose key file is missing exits with the status for invalid settings
    Given settings of a control host whose key file is missing
    Then "samphire-control" exits with status 2 and "settings_invalid"

  Scenario: A fleet with mutual TLS serves callers and operators
    Given a fleet whose links use mutual TLS and whose operators use TLS
    Then each node serves a caller's request
    And "samphirectl" changes a section over TLS, and it comes into force everywhere
