Feature: Metrics that stay small
  What a node sends doesn't grow with its requests.

  Scenario: The uses of an interval are summed up
    Given metrics that go to a statsd stand-in
    When in one interval 2000 attempts are counted, 500 durations recorded and a gauge is set 100 times
    Then the stand-in got a count of 2000, at most 20 durations and the gauge's latest value
    And it got at most 3 packets

  Scenario: What is counted before a stop is sent
    Given metrics that go to a statsd stand-in
    When 7 attempts are counted and the process stops at once
    Then the stand-in got a count of 7

  Scenario: A sample of durations takes each one alike
    When 200 samples are taken of the durations 0 to 999
    Then the mean of all sampled durations is between 470 and 530

  Scenario: The bytes of links are counted by what they are for
    Given a codec that counts its bytes
    When it encodes and decodes an attempt and a registry's reply
    Then the bytes sent and received are those of the attempt and of the reply, apart

  Scenario: A collector fetches all metrics as text
    Given metrics that are kept as text
    When requests, a gauge and durations of 4 and 40 ms are noted over two intervals
    Then the text over HTTP has
      | line                                                   |
      | samphire_front_requests_total{outcome="answered"} 6.0  |
      | samphire_document_version 40.0                         |
      | samphire_front_request_duration_seconds_bucket{le="0.005"} 1.0 |
      | samphire_front_request_duration_seconds_count 2.0      |
    And every metric has a name and labels in the text
