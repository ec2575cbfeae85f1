Feature: Generated reference pages
  docs/DOCUMENT.md and docs/SETTINGS.md describe every field as the code does.

  Scenario: The pages match the code
    Then every field of the document and of the settings has a docstring
    And the pages in the repository are the ones generated from the code

  Scenario: The operators' page covers every error code, refusal, log event and metric
    Then the operators' page lists each error code, refusal, log event and metric of the code and no other
    And the code uses each of these names, and no others for log events and metrics

  Scenario: A missing name, a stale name and an empty cell of the page are reported
    Given a copy of the operators' page without the row of "hosts_expired"
    And with a row for the code "gone_code" that doesn't say what to do
    Then the problems reported are
      | problem                            |
      | stale code: gone_code              |
      | missing log event: hosts_expired   |
      | no 'what to do' for code gone_code |
