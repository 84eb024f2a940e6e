@endpoint-pause
Feature: A gateway sends nothing to an endpoint that has asked for a pause, and few requests after it

    # Guards against all requests that come at the end of a pause being sent to the endpoint at once.
    Scenario: After a pause one request is sent, and more with each answer
        Given an endpoint that asks for a pause of 3000 ms while 40 requests are under way
        When a request is tried every 10 ms for 3000 ms, and the endpoint answers none
        Then 0 requests are sent
        When a request is tried every 10 ms for 1000 ms, and the endpoint answers none
        Then 1 requests are sent
        When a request is tried every 10 ms for 1000 ms, and the endpoint answers each after 40 ms
        Then 20 to 100 requests are sent, and at most 30 are under way at once

    # Guards against a second rejection, sent before the first one was read, that ends the pause early.
    Scenario: A shorter pause does not end a longer one
        Given an endpoint that asks for a pause of 3000 ms while 10 requests are under way
        And 100 ms later it asks for a pause of 500 ms
        When a request is tried every 10 ms for 2800 ms, and the endpoint answers none
        Then 0 requests are sent

    # Guards against answers to requests from before the pause that are taken for a sign of room after it.
    Scenario: Answers to requests that were sent before the pause give no room after it
        Given an endpoint that asks for a pause of 1000 ms while 10 requests are under way
        And 500 ms later it answers 10 requests that were sent before
        When a request is tried every 10 ms for 2000 ms, and the endpoint answers none
        Then 1 requests are sent

    Scenario Outline: Absurd pauses
        Given an endpoint that asks for a pause of <pause> ms while 0 requests are under way
        Then it is paused for <paused> ms

        Examples:
            | pause        | paused  |
            | 0            | 0       |
            | 250          | 250     |
            | 999999999000 | 3600000 |

    # Guards against traffic that swings from one endpoint to the next when each can take only a part of it.
    Scenario Outline: Under five times the load that endpoints accept, each pause is obeyed and most of the room is used
        Given 3 endpoints that run 6 requests for 40 ms each and reject others for <pause> ms
        And 3 gateways that get 2250 requests a second together
        When they are simulated for 30 seconds
        Then no gateway sends an endpoint more than 2 requests between 500 ms after a rejection and the end of its pause
        And the endpoints have run at least <used> of the requests that they had room for
        And each other request was refused at once

        Examples:
            | pause | used |
            | 1000  | 0.5  |
            | 3000  | 0.5  |
