Feature: Tasks whose inboxes are full
  A full inbox refuses load. It must not lose what ends earlier work, and must not end the task that posts to it,
  which would end the process.

  # Guards against targets that stay counted as used, and so get nothing for the rest of the process's life.
  Scenario Outline: Selections end although the table of the selecting host has too much to do
    Given a host that selects among 10 targets with 1 slot each
    When a front selects 10 targets, and <end> while the inbox of the host's table is full
    And 2 fronts select 5 targets each at the same time
    Then the 10 targets are distinct

    Examples:
      | end                |
      | its attempts end   |
      | its channel ends   |

  Scenario: An attempt for an agent whose inbox is full is refused, and the next one runs
    Given an attempt runner whose agent has a full inbox
    When an attempt is started
    Then it is refused as "shedding", and the runner goes on

  Scenario: The end of an attempt reaches an agent whose inbox is full
    Given an attempt runner whose agent has a full inbox once it has admitted the attempt
    When an attempt is started
    Then the agent hears of its end, and the runner goes on

  Scenario: A lost path is reported to a table whose inbox is full
    Given a path prober whose table has a full inbox
    When it probes a host that can't be reached
    Then the table hears of the lost path, and the prober goes on
