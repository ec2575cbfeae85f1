Feature: Responses of backend servers in trouble
  A backend server may send a response twice or late, break off, or send bytes that are no response,
  without end. The next caller must get its own response, and the agent must stay within bounds.

  Scenario Outline: Bytes that are no response end the exchange within a bound
    When a backend server sends <bytes> without end
    Then the exchange fails as "<kind>" after at most <limit> KiB

    Examples:
      | bytes                          | kind  | limit |
      | garbage                        | reset | 256   |
      | a status line                  | reset | 512   |
      | one header                     | reset | 512   |
      | many headers                   | reset | 512   |
      | interim responses              | reset | 512   |
      | a chunk extension              | cut   | 512   |
      | trailers                       | cut   | 512   |

  Scenario: A body without end is passed on only as fast as its reader takes it
    When a backend server sends a body without end
    And the reader takes 1 MiB of it and leaves
    Then at most 2 MiB were received, and the connection is closed

  Scenario Outline: A response that arrives between two requests never reaches the next caller
    Given each response is sent <copies>
    When two requests are sent one after the other
    Then both get their own responses, over <connections> connections

    Examples:
      | copies                             | connections |
      | once                               | 1           |
      | twice at once                      | 2           |
      | and a copy before the next request | 2           |
      | and a copy with another id later   | 2           |

  # Guards against a late copy of a refusal that passes for the response to a later attempt: an action
  # that runs would be reported as not run, and be sent again.
  Scenario Outline: A late copy of a refusal never answers a later attempt
    Given a backend server that refuses a request <refusal>, and repeats the refusal before its next response
    When the attempt is refused, and <attempt> is sent
    Then the later attempt gets its own response

    Examples:
      | refusal                         | attempt                           |
      | with the request's id           | another attempt at the request    |
      | with the request's id           | an attempt at another request     |
      | without an id                   | another attempt at the request    |
      | without an id                   | an attempt at another request     |
      | by status 421                   | another attempt at the request    |
      | by a code in the body           | another attempt at the request    |
      | by a code in the body           | an attempt at another request     |

  Scenario: A late copy of a failure without an id never answers another request
    Given a backend server that fails a request without an id, and repeats the failure before its next response
    When the attempt fails, and an attempt at another request is sent
    Then the later attempt doesn't get the failure

  Scenario Outline: Which responses are complete
    When a backend server sends <response> and closes the connection
    Then the result is <result>

    Examples:
      | response                            | result                            |
      | a body without a length             | the complete body "hello"         |
      | a body shorter than its length      | cut                               |
      | an unfinished chunked body          | cut                               |
      | nothing                             | reset                             |
      | an interim response before the head | the complete body "hello"         |
      | two different lengths               | reset                             |
      | a length and chunks                 | reset                             |

  # Guards against a header of a response without a valid status that passes for proof that nothing ran.
  Scenario Outline: A response whose status is none is no response, and no refusal
    When a backend server sends the status "<status>" and says that it didn't run the request
    Then the exchange fails as "reset", as does one behind an interim response

    Examples:
      | status |
      | 000    |
      | 099    |
      | 20     |
      | 101    |
      | 600    |
      | 999    |
      | 1000   |
      | -01    |
      |        |

  # Guards against a success with an empty or short body, made of a head that stopped in the middle.
  Scenario Outline: A response that stops at any byte is never passed on as complete
    When the connection ends by a <kind> after each byte of <response>
    Then no attempt has a response, and none counts as not started

    Examples:
      | response                                | kind  |
      | a head and a body with a length         | close |
      | a head and a body with a length         | reset |
      | a head and a chunked body               | close |
      | the head before a body without a length | close |

  Scenario: A connection without a length that is reset isn't complete
    When a backend server sends a body without a length and resets the connection
    Then the result is cut

  Scenario: Connections that a backend server drops are found out once
    Given a backend server that drops connections without notice after 0.3 s
    When 6 requests are sent, one every 0.45 s
    Then at most 1 of them fails

  Scenario Outline: A backend server fails while it is sent a long body
    Given a backend server that <behaviour> once it has read 64 KiB of a body
    When a body of 4 MiB is sent to it, <pace>
    Then the result is <result>, and the connection isn't used again

    Examples:
      | behaviour                        | pace               | result                    |
      | resets the connection            | as fast as it goes | reset                     |
      | resets the connection            | and then stops     | reset                     |
      | closes the connection            | and then stops     | reset                     |
      | sends half a response and closes | and then stops     | cut                       |
      | responds and closes              | and then stops     | the complete body "hello" |

  Scenario: A caller that leaves in the middle of a long body ends the exchange
    Given a backend server that reads the whole body and responds
    When a body of 4 MiB is sent to it, whose caller leaves after 1 MiB
    Then the result is cancelled, and the connection isn't used again

  Scenario: A response before the end of a long body is passed on
    Given a backend server that responds once it has read 64 KiB of a body
    When a body of 4 MiB is sent to it, and then stops
    Then the result is the complete body "hello", and the connection isn't used again

  # Guards against nodes that end by themselves: all attempts of a node share one task group, and an
  # error that nobody expects in one of them ended it.
  Scenario: An attempt that fails by an unforeseen error fails alone
    Given a target of which every tenth attempt fails by an unforeseen error
    When reads are sent to it for 5 s
    Then the other attempts are served, and all slots are free afterwards

  # Guards against a node that never waits: from Python 3.12 on, the event loop goes on writing as long as an empty part is left.
  Scenario Outline: A request without a body hands no empty part to the event loop
    When <parts> are written to a connection
    Then its transport gets the parts <passed_on>

    Examples:
      | parts             | passed_on  |
      | a head and ""     | head       |
      | a head and "body" | head, body |
      | ""                | none       |
