Feature: Links between replicas
  A replica opens its link to a peer anew once the peer hasn't replied for some time, and loses the message
  that it was about to send. Messages that need no reply must not count: followers exchange only few of
  them between elections, and the first message of an election would be lost.

  Scenario Outline: A peer that had nothing to reply keeps its link
    Given a peer that receives replication messages and sends none
    When a replica sends it <message>, and requests a pre-vote <silence> s later
    Then the peer receives both messages on one link

    Examples:
      | message               | silence |
      | a pre-vote reply      | 4       |
      | a vote reply          | 4       |
      | a heartbeat reply     | 4       |
      | an append reply       | 4       |
      | an announcement reply | 4       |
      | a departure reply     | 4       |
      | a heartbeat           | 2       |
      | a pre-vote request    | 2       |

  Scenario Outline: A peer that doesn't reply for too long gets a new link
    Given a peer that receives replication messages and sends none
    When a replica sends it <message>, and requests a pre-vote 4 s later
    Then the peer receives the next request on a new link

    Examples:
      | message            |
      | a heartbeat        |
      | an append request  |
      | a snapshot chunk   |
      | a pre-vote request |
      | a vote request     |
      | an announcement    |
