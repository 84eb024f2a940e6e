@endpoint-silence
Feature: Silence of an endpoint ends no work that the endpoint would complete

    # Guards against streams that are closed for a pause of their endpoint although no other endpoint can continue them.
    Scenario: Streams whose endpoint pauses go on there when the retry budget is empty
        Given a gateway with 2 endpoints, 1 retry and resumable streams
        And 6 callers that have received events 1 to 3
        When the endpoints send nothing for 1600 ms
        And they complete their streams with event 6
        Then each caller has received events 1 to 6 and the end of its stream

    # Guards against streams that stay at an endpoint that has ended silently although another one could continue them.
    Scenario: A stream that waits at a silent endpoint goes on at another once there is a retry
        Given a gateway with 2 endpoints, 1 retry, 2 more a second from 5000 ms on, and resumable streams
        And 2 callers that have received events 1 to 3
        When the endpoints send nothing for 5900 ms
        Then 2 streams have gone on at the other endpoint

    # Guards against requests that fail with 502 for a pause of their endpoint, since nothing else can take them.
    Scenario: A repeatable request whose endpoint is slow is answered when no other endpoint can take it
        Given a gateway with 1 endpoint, 1 retry and repeatable requests
        And a caller that has sent a request
        When the endpoints send nothing for 1600 ms
        And they answer with status 200
        Then each caller has an answer with status 200

    # Guards against streams that are closed on a report of a loss, which may be wrong, although their endpoint goes on.
    Scenario: Streams go on at endpoints that are reported as lost when no other endpoint can take them
        Given a gateway with 2 endpoints, 1 retry and resumable streams
        And 6 callers that have received events 1 to 3
        When the endpoints are reported as lost
        And they complete their streams with event 6
        Then each caller has received events 1 to 6 and the end of its stream

    # Guards against streams that wait for a lost endpoint to their deadline although another one can continue them.
    Scenario: A stream at an endpoint that is reported as lost goes on at another one
        Given a gateway with 2 endpoints, 1 retry and resumable streams
        And 1 callers that have received events 1 to 3
        When its endpoint is reported as lost
        Then 1 streams have gone on at the other endpoint

    # Guards against requests that fail with 502 because an entry of another writer names the address of their endpoint.
    Scenario: A request completes at an endpoint whose address another one announces
        Given a gateway with 1 endpoint, 1 retry and repeatable requests
        And a caller that has sent a request
        When another endpoint announces the address of its endpoint
        And they answer with status 200
        Then each caller has an answer with status 200

    # Guards against streams that are taken from their endpoints after a stall of the gateway, whose timers run before its sockets are read.
    Scenario: Events that wait while the gateway stands still keep a stream at its endpoint
        Given a gateway with 2 endpoints, 1 retry and resumable streams
        And 2 callers that have received events 1 to 3
        When the gateway stands still for 3000 ms, and then reads event 4 of each stream
        Then no request was sent to another endpoint

    # Guards against a timeout in place of an answer that has arrived.
    Scenario: An answer that waits as the deadline passes is delivered
        Given a gateway with 1 endpoint, 1 retry and repeatable requests
        And a caller that has sent a request
        When the gateway stands still for 9000 ms, and then reads the answers
        Then each caller has an answer with status 200

    # Guards against streams that are taken from a silent endpoint and closed because the next one is full.
    Scenario: A stream that the next endpoint rejects waits until one takes it
        Given a gateway with 2 endpoints, 1 retry, 2 more a second from 5000 ms on, and resumable streams
        And 1 callers that have received events 1 to 3
        When the endpoints send nothing for 1600 ms
        And the next endpoint rejects the stream
        And the endpoints send nothing for 4000 ms
        And they complete their streams with event 6
        Then each caller has received events 1 to 6 and the end of its stream
