Feature: What a process loads at its start
  A node that is started again serves nothing until its code is loaded, and many are started at once
  after a loss of power. Command line, terminal and exporter libraries once took half of that time.

  Scenario Outline: A program on the platform loads only what it uses
    When "<module>" is imported without the libraries that only operators' tools and tests use
    Then at most <count> modules are loaded

    Examples:
      | module                          | count |
      | samphirespring.platform.node    | 720   |
      | samphirespring.platform.control | 720   |

  Scenario: Metrics are encoded by their library once a collector fetches them
    When "samphirespring.platform.node" is imported without the libraries that only operators' tools and tests use
    Then "prometheus_client" and "samphirespring.process.prometheus_text" aren't loaded

  Scenario: A node loads no library for what it only does now and then
    When "samphirespring.platform.node" is imported without the libraries that only operators' tools and tests use
    Then "httpcore" and "certifi" aren't loaded

  # A seventh of the time in which a node starts went into looking through what it had just loaded.
  Scenario Outline: Nothing is collected while a program is loaded, and garbage is once it runs
    When "<module>" is imported without the libraries that only operators' tools and tests use
    Then at most 20 collections have run, and collections are enabled once the loaded objects are frozen

    Examples:
      | module                          |
      | samphirespring.platform.node    |
      | samphirespring.platform.control |

  # Guards against processes that end by themselves because their settings change while they start.
  Scenario Outline: A program that gets a SIGHUP while it is loaded goes on
    When "<module>" gets a SIGHUP while it loads "msgspec", and has no settings
    Then it ends by its missing settings, with status 2

    Examples:
      | module                          |
      | samphirespring.platform.node    |
      | samphirespring.platform.control |
