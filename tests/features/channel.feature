Feature: Attempts over one channel between two processes
  A front runs all its attempts at a host over one pair of streams. One slow reader must not hold up
  the others, nothing may be lost or mixed up, and a broken channel must say what may have run.

  Scenario: Many attempts at once get their own frames in order
    Given an agent whose attempts respond with 3 chunks that name them
    When 200 attempts are sent at once
    Then each attempt gets exactly its own frames, over one stream

  Scenario: A reader that stops doesn't hold up the other attempts
    Given an agent whose attempts respond with 16 MiB
    When an attempt is read as far as its head, and 5 others are read to the end
    Then the 5 others are complete, and the agent has sent at most 1 MiB for the first one

  Scenario: An attempt that is left is cancelled, the others go on
    Given an agent whose attempts respond after 0.3 s
    When 2 attempts are sent and the first one is left after 0.1 s
    Then the agent's attempt of the first one is cancelled, and the second one is complete

  Scenario: A body is sent only to the agent that admits the attempt
    Given an agent that refuses attempts
    When an attempt with a body of 1 MiB is sent
    Then it is refused, and less than 20 KiB were sent

  Scenario: A body arrives as it was sent, and no faster than it is taken
    Given an agent that reads bodies of attempts slowly
    When an attempt with a body of 3 MiB in parts is sent
    Then the agent has read the same body, and never more than 256 KiB waited

  Scenario: A body that its caller doesn't finish is aborted at the agent
    Given an agent that reads bodies of attempts slowly
    When an attempt is sent whose body stops after 300 KiB
    Then the agent's body is aborted, and the attempt may have started

  Scenario Outline: A channel that ends tells whether an attempt may have started
    Given an agent whose connection <end>
    When an attempt is sent
    Then the link is unavailable, and the attempt <may> have started

    Examples:
      | end                             | may     |
      | can't be opened                 | can't   |
      | ends while the attempt runs     | may     |

  # Guards against a front that keeps the bodies of requests which have long ended, because the agent
  # that was to get them is frozen.
  Scenario: Attempts that have ended hold no memory while their agent reads nothing
    Given an agent that reads nothing from its channel
    When 150 attempts with bodies of 200 KiB are sent and left one after the other
    Then the front's memory has grown by at most 4 MiB

  Scenario: An agent of an earlier version gets its attempts one by one
    Given an agent that knows no channels and responds with 3 chunks
    When attempts are sent until one is complete, and then 5 more
    Then at most the first one failed, and it can't have started
