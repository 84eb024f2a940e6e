@gateway-stop
Feature: A stop of a gateway loses no request that it has read

    # Guards against answers that are cut off for slow readers because they count as ended once they are handed to the socket.
    Scenario: An answer that its caller has not read yet is not cut off
        Given a gateway that serves repeatable requests and stops within 8000 ms
        And a caller that reads nothing has sent a request
        And the endpoint answers it with 8000000 bytes
        When the stop begins, and 3000 ms pass
        And the caller reads on
        Then the caller has an answer with status 200 and 8000000 bytes

    # Guards against the same for connections that Node counts as idle since their response has ended.
    Scenario: A connection with an answer that its caller has not read yet does not count as idle
        Given a gateway that serves repeatable requests and stops within 8000 ms
        And another caller has sent a request
        And a caller that reads nothing has sent a request
        And the endpoint answers it with 8000000 bytes
        When the stop begins, and 4000 ms pass
        And the caller reads on
        Then the caller has an answer with status 200 and 8000000 bytes

    # Guards against requests that are lost because only those with a complete body count as in flight.
    Scenario: A request whose body still arrives is served
        Given a gateway that serves repeatable requests and stops within 8000 ms
        And a caller that has sent half of a request
        When the stop begins, and 3000 ms pass
        And the caller sends the other half
        And the endpoint answers it with 10 bytes
        Then the caller has an answer with status 200 and 10 bytes

    # Guards against requests that are passed on so late in the stop that its end cuts them off, although they could still be
    # refused as not run.
    Scenario Outline: A request whose body arrives late in the stop is passed on only if it can usually be served in time
        Given a gateway that serves <kind> and stops within 8000 ms
        And <count> requests were served, which took 1000 ms each
        And a caller that has sent half of a request
        When the stop begins, and <since> ms pass
        And the caller sends the other half
        Then the endpoint has <sends> request more
        And the caller has an answer with status <status> <whether>

        Examples:
            | kind                    | count | since | sends | status | whether                 |
            | non-repeatable requests | 20    | 5000  | 1     | 200    | once the endpoint sends |
            | non-repeatable requests | 20    | 5800  | 0     | 503    | at once                 |
            | repeatable requests     | 20    | 5800  | 0     | 503    | at once                 |
            | non-repeatable requests | 0     | 5800  | 1     | 200    | once the endpoint sends |

    # Guards against connections that close without an answer when the time for the stop is over.
    Scenario Outline: A request that can't be completed in time gets a final answer that is true
        Given a gateway that serves <kind> and stops within 8000 ms
        And a caller that has sent <part> of a request
        When the stop begins, and 7900 ms pass
        Then the caller has an answer with status <status>

        Examples:
            | kind                    | part | status |
            | repeatable requests     | all  | 502    |
            | non-repeatable requests | all  | 502    |
            | repeatable requests     | half | 503    |

    # Guards against a connection that is closed as idle while a request waits in its socket.
    Scenario: A request that arrives on an idle connection as it is closed is answered
        Given a gateway that serves repeatable requests and stops within 8000 ms
        And a caller that has an answer to its request
        When the stop begins, and a request arrives after the timers of the turn in which idle connections are closed
        And the endpoint answers it with 10 bytes
        Then the caller has an answer with status 200 and 10 bytes

    # Guards against a reset in place of an answer for callers that the balancer still sends here.
    Scenario: A request on a connection that was opened during the stop is answered
        Given a gateway that serves repeatable requests and stops within 8000 ms
        And another caller has sent a request
        When the stop begins, and 3000 ms pass
        And a caller opens a connection, and sends its request 400 ms later
        And the endpoint answers it with 10 bytes
        Then the caller has an answer with status 200 and 10 bytes

    # Guards against pipelined requests that run and whose answer can't be sent any more.
    Scenario: A request behind one that ends the connection does not run
        Given a gateway that serves repeatable requests and stops within 8000 ms
        When the stop begins, and 100 ms pass
        And a caller sends two requests at once
        Then the endpoint has 1 request

    # Guards against connections that close right after an answer which promised to keep them.
    Scenario: The answer to a request that was in flight at the signal announces the end of its connection
        Given a gateway that serves repeatable requests and stops within 8000 ms
        And a caller that has sent all of a request
        When the stop begins, and 100 ms pass
        And the endpoint answers it with 10 bytes
        Then the caller's connection is announced to close
