Feature: Validation of settings
  Invalid settings end a program with status 2 and one line that names the JSON path.

  Scenario Outline: Invalid settings
    When "<program>" starts with "<file>" in which "<path>" is <value>
    Then it exits with status 2 and prints one line with "<shown>"

    Examples:
      | program         | file             | path                | value       | shown                       |
      | samphire-node   | node-sask-1.json | speed               | 3           | unknown field `speed`       |
      | samphire-node   | node-sask-1.json | caller_listen       | 12          | $.caller_listen             |
      | samphire-node   | node-sask-1.json | report_interval_s   | -1          | $.report_interval_s         |
      | samphire-node   | node-sask-1.json | limits.body_bytes   | "much"      | $.limits.body_bytes         |
      | samphire-node   | node-sask-1.json | control_links       | []          | $.control_links             |
      | samphire-node   | node-sask-1.json | log.level           | "loud"      | $.log.level                 |
      | samphire-control| control-1.json   | peers               | []          | $.peers                     |
      | samphire-control| control-1.json   | replica             | null        | $.replica                   |

  Scenario: A missing settings file
    When "samphire-node" starts with a settings file that doesn't exist
    Then it exits with status 2 and prints one line with "No such file"

  Scenario Outline: The examples' settings and documents are valid
    Then the settings and the document of "<example>" are valid
    And the document of "<example>" defines services <services> with <slots> slots
    And the settings of "<example>" name <regions> regions and <domains> failure domains

    Examples:
      | example           | services                         | slots | regions | domains |
      | wheatsheaf        | recipes, orders, scaler          | 5     | 3       | 3       |
      | anneau-machinerie | dispo, reservations, facturation | 7     | 3       | 6       |

  Scenario Outline: A program whose address is in use logs it and exits
    Given another process listens at an address
    When "<program>" starts with "<name>" whose "<path>" is that address
    Then it exits with status 3 and its log names the address

    Examples:
      | program          | name              | path            |
      | samphire-node    | node-sask-1.json  | caller_listen   |
      | samphire-node    | node-sask-1.json  | link_listen     |
      | samphire-control | control-1.json    | operator_listen |
      | samphire-control | control-1.json    | link_listen     |
