@request-scope
Feature: An exception while one request is handled ends that request and nothing else

    # Guards against a process that ends, with every request in flight, because of one request; and against a request that
    # never gets an answer after an exception.
    Scenario Outline: An exception at <point>
        Given a gateway with two endpoints, each with a request, of which the first fails at <point>
        When <event> happens to the first request
        Then the first request ends with <outcome>, and one exception is logged and counted
        And the second request is answered by its endpoint
        And no request is left in the gateway, and no memory is held

        Examples:
            | point                  | event                        | outcome             |
            | decodeRequest          | nothing                      | status 500          |
            | start                  | nothing                      | status 500          |
            | sendNext               | nothing                      | status 500          |
            | handleHead             | its answer                   | status 500          |
            | handleData             | its answer                   | status 500          |
            | handleEnd              | its answer                   | status 500          |
            | deliverResponse        | its answer                   | status 500          |
            | handleFailure          | the failure of its attempt   | status 500          |
            | handleEndpointLost     | the loss of its endpoint     | status 500          |
            | handleDeadline         | its deadline                 | status 500          |
            | handleStall            | a stall of its endpoint      | status 500          |
            | handleCallerDisconnect | the end of its connection    | a closed connection |
            | writeHeadOnce          | the first event of a stream  | status 500          |
            | recordFirstContent     | the second event of a stream | a closed connection |
            | finishForStop          | the end of the process       | status 500          |
            | waitForRetry           | the wait of a stream         | a closed connection |
