Feature: Admission at the agent
  A target never runs more attempts than it has slots, and each refusal carries its reason.

  Scenario: Load at twice the capacity sheds helper attempts first
    Given a target with 5 slots and a latency of 10 ms
    When attempts arrive at 1000 per second for 4 s, half of them helpers
    Then at most 5 attempts ran concurrently and no attempt waited longer than 50 ms
    And under 2 % of the interactive attempts and the actions were refused
    And over 90 % of the helpers were refused with "shedding"

  Scenario: A burst that exceeds slots and queue is refused without waiting
    Given a target with 5 slots and a latency of 200 ms
    When 20 interactive attempts arrive at once
    Then 5 attempts were admitted and 15 refused with "no_slot" within 50 ms

  Scenario Outline: An attempt that can't start is refused with its reason
    Given a target with 5 slots and a latency of 10 ms
    When an attempt arrives "<condition>"
    Then the attempt was refused with "<code>"

    Examples:
      | condition                         | code           |
      | after its deadline                | expired        |
      | for another service               | unknown_target |
      | after a drain                     | draining       |
      | for a service not in the document | stale_document |

  # Guards against sound targets that nobody reaches for as long as their node takes to stop and to start again.
  Scenario Outline: A stopping agent goes on admitting attempts as long as its front accepts callers
    Given a target with 5 slots whose pool takes <p75> ms for 3 in 4 attempts, and <p97> ms for nearly all
    When its agent is to drain with 2600 ms for callers and <all> ms in all, and attempts arrive every 100 ms
    Then it admits them for <admitted> ms, and reports from then on that the target drains

    Examples:
      | p75  | p97  | all  | admitted |
      | 1000 | 2000 | 5800 | 2600     |
      | 2500 | 3500 | 5800 | 600      |
      | 1000 | 3200 | 5800 | 1000     |
      | 3000 | 3800 | 5800 | 100      |
      | 100  | 200  | 1500 | 1200     |

  Scenario: A stopping agent that doesn't know how long attempts take admits none
    Given a target with 5 slots and a latency of 10 ms
    When its agent is to drain with 2600 ms for callers and 5800 ms in all, and attempts arrive every 100 ms
    Then it admits them for 0 ms, and reports from then on that the target drains

  Scenario: The document sets the slots of targets that announce none
    Given a target with 5 slots and a latency of 10 ms
    When the document sets 2 slots for the service and 20 interactive attempts arrive at once
    Then at most 2 attempts ran concurrently and no attempt waited longer than 50 ms

  Scenario: Only a complete typed error body is a refusal
    When backend servers respond 429 and 503 with valid and invalid error bodies
    Then only typed bodies are refusals, headers precede bodies, and invalid hints are dropped

  Scenario Outline: A response is checked for members only if its body can be read
    When a "<method>" request receives status <status>, encoding "<encoding>" and body "<body>"
    Then a check for the member "target" classifies the response as "<verdict>"

    Examples:
      | method | status | encoding | body          | verdict |
      | GET    | 200    | none     | {"target": 1} | ok      |
      | GET    | 200    | none     | {"other": 1}  | wrong   |
      | GET    | 200    | gzip     | unreadable    | ok      |
      | HEAD   | 200    | none     | none          | ok      |
      | GET    | 304    | none     | none          | ok      |
      | GET    | 200    | none     | none          | wrong   |

  Scenario: The queue keeps its order and its bound under random load
    When 300 random sequences of offers and freed slots are applied to a queue
    Then urgent attempts came first, the bound held, and each attempt got one reply
