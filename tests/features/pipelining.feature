Feature: Requests that a caller sends before earlier ones are answered
  Responses must come in the order of the requests. A connection reads only so far ahead, starts
  nothing behind a response that closes it, and notices a caller that leaves.

  Scenario: Responses come in order, whatever the requests take
    Given a server whose requests take 30, 0, 20 and 0 ms
    When 4 requests are sent at once on one connection
    Then 4 responses come in order, and at most 1 request ran at a time

  Scenario: A connection reads a bounded number of requests ahead
    Given a server whose first request takes 300 ms
    When 20000 requests are sent while the first one runs
    Then at most 512 KiB wait, and all 20000 responses come in order

  Scenario: Nothing is started behind a response that closes the connection
    Given a server that closes the connection after its second response
    When 4 requests are sent at once on one connection
    Then 2 responses come in order, the connection ends without a reset, and 2 requests ran

  Scenario: Nothing is started behind a response during a planned stop
    Given a server whose first request takes 200 ms
    When 4 requests are sent at once on one connection and the server stops after 50 ms
    Then 1 responses come in order, the connection ends without a reset, and 1 requests ran

  Scenario: A caller that leaves is noticed by the request that runs
    Given a server whose first request takes 5000 ms
    When 4 requests are sent at once on one connection, which is closed after 50 ms
    Then the running request is told within 0.5 s, and 1 requests ran

  Scenario: A body between two reads arrives whole
    Given a server that echoes bodies
    When a read, an upload of 300000 bytes and a read are sent at once on one connection
    Then the bodies of the responses have 0, 300000 and 0 bytes

  Scenario Outline: What isn't a valid request ends the connection with an error code
    Given a server whose requests take 0, 0, 0 and 0 ms
    When <bytes> are sent
    Then the response has status 400 and the code "malformed_request", and nothing ran

    Examples:
      | bytes                                    |
      | two Host headers                         |
      | no Host header                           |
      | a length and chunks                      |
      | two different lengths                    |
      | a folded header                          |
      | a space before a header's colon          |
      | a head of 100 KiB                        |
      | one header of 100 KiB without an end     |
      | a target of 100 KiB without an end       |
      | trailers of 100 KiB                      |
