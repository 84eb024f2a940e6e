@evacuation
Feature: Endpoints of an evacuated data centre get nothing new from a gateway

    # Guards against evacuations that are lost or stay when an update replaces everything, holds more kinds of entries than
    # the gateway reads, or repeats what is known; and against returns that are reported again.
    Scenario Outline: After <updates> the evacuated data centres are <evacuated>
        When a gateway applies <updates>
        Then the evacuated data centres are "<evacuated>"
        And the reported changes are "<changes>"

        Examples:
            | updates                                                 | evacuated | changes  |
            | a snapshot of a                                         | a         | +a       |
            | a snapshot of a, a difference of +b                     | a b       | +a +b    |
            | a snapshot of a, a difference of -a                     |           | +a -a    |
            | a difference of +a, a difference of +a                  | a         | +a       |
            | a snapshot of a, a snapshot of a                        | a         | +a       |
            | a snapshot of a b, a snapshot of b                      | b         | +a +b -a |
            | a snapshot of a, a difference of -a, a difference of +a | a         | +a -a +a |
            | a difference of -a                                      |           |          |

    # Guards against a gateway that sends requests to a data centre after it has applied the evacuation.
    Scenario: After an evacuation requests go to the other data centres only, and after its withdrawal to all
        Given a gateway with endpoints in "a", "a" and "b"
        When "a" is evacuated
        And 6 requests reach the gateway
        Then the endpoints have got 0, 0 and 6 requests
        When the evacuation of "a" is withdrawn
        And the endpoints answer all requests
        And 9 requests reach the gateway
        Then each endpoint has got a request

    # Guards against requests that wait for a connection and are written to the endpoint seconds after the evacuation.
    Scenario: Requests that are not written yet go elsewhere, and others complete where they run
        Given a gateway with endpoints in "a" and "a"
        And endpoint 2 opens its connections
        And 6 requests reach the gateway
        When "b" has an endpoint as well, and "a" is evacuated
        Then no request waits at endpoint 2, and those at endpoint 1 are not aborted
        When the endpoints answer all requests
        Then 6 callers have got the answer, and none another status

    # Guards against callers that wait, or are told of a fault, while no endpoint may be used.
    Scenario: While all endpoints are evacuated, requests are refused at once with a time to return
        Given a gateway with endpoints in "a" and "b"
        When "a" is evacuated
        And "b" is evacuated
        And 2 requests reach the gateway
        Then 2 callers have got status 503 with "data-centres-evacuated" and a time of 1500 to 2500 ms
        When the evacuation of "b" is withdrawn
        And 1 requests reach the gateway
        Then the endpoints have got 0 and 1 requests
