Feature: Aggregation and export of metrics
  The metrics that a node sends don't grow with the number of its requests.

  Scenario: The metrics of one interval are aggregated
    Given metrics that go to a fake statsd server
    When in one interval 2000 attempts are counted, 500 durations recorded and a gauge is set 100 times
    Then the statsd server receives a count of 2000, at most 20 durations and the gauge's latest value
    And it receives at most 3 packets

  Scenario: Metrics that are counted just before a stop are sent
    Given metrics that go to a fake statsd server
    When 7 attempts are counted and the process stops immediately
    Then the statsd server receives a count of 7

  Scenario: A sample of durations is uniform
    When 200 samples are taken of the durations 0 to 999
    Then the mean of all sampled durations is between 470 and 530

  Scenario: The bytes on links are counted by kind of traffic
    Given a codec that counts its bytes
    When it encodes and decodes an attempt and a registry's reply
    Then the bytes sent and received are counted separately for the attempt and the reply

  Scenario: A collector fetches all metrics as text
    Given metrics that are kept as text
    When requests, a gauge and durations of 4 and 40 ms are recorded in two intervals
    Then the text over HTTP contains these lines
      | line                                                   |
      | samphire_front_requests_total{outcome="answered"} 6.0  |
      | samphire_document_version 40.0                         |
      | samphire_front_request_duration_seconds_bucket{le="0.005"} 1.0 |
      | samphire_front_request_duration_seconds_count 2.0      |
    And every metric has a name and labels in the text
