@cold-endpoints
Feature: A gateway knows which endpoints are cold

    Background:
        Given a service with a cold time of 3000 ms and 32 requests a second

    # Guards against a line for each report, and against an end that is noticed only with the next request.
    Scenario: A cold time that heartbeats and responses report begins and ends once
        When a heartbeat reports a cold time of 2500 ms
        And 1200 ms go by
        And a heartbeat reports a cold time of 1300 ms
        And a response reports a cold time of 1300 ms
        Then the endpoint is limited
        When 1400 ms go by
        Then the endpoint is not limited
        And the log has "endpoint-cold" once and "endpoint-warm" once

    # Guards against a response with an odd value that keeps an endpoint limited for long.
    Scenario: A response counts for no longer than the declared time, and control is informed once
        When a response reports a cold time of 500000 ms
        And a response reports a cold time of 499990 ms
        Then the endpoint is limited
        And control is informed 1 times
        When 3010 ms go by
        Then the endpoint is not limited

    # Guards against an odd value whose end, minutes away, hides all later reports and keeps the endpoint unlimited.
    Scenario Outline: A report that exceeds the declared time does not hide the ones after it
        When <source> reports a cold time of 500000 ms
        And 3010 ms go by
        Then the endpoint is not limited
        When a response reports a cold time of 3000 ms
        Then the endpoint is limited
        And control is informed <informed> times, of at most 3000 ms

        Examples:
            | source          | informed |
            | a response      | 2        |
            | another gateway | 1        |

    Scenario Outline: Endpoints of a data centre that returns are cold until a later heartbeat, or for the declared time
        When data centre "<data centre>" returns
        Then the endpoint is <before>
        When 1000 ms go by
        And a heartbeat reports a cold time of <cold> ms
        Then the endpoint is <after>
        When 3000 ms go by
        Then the endpoint is not limited

        Examples:
            | data centre | cold | before      | after       |
            | d           | 0    | limited     | not limited |
            | d           | 1500 | limited     | limited     |
            | other       | 0    | not limited | not limited |

    # Guards against a gateway that takes endpoints for warm of which it receives nothing.
    Scenario: Without contact to control, all endpoints of the service are limited
        When contact to control is lost
        Then the endpoint is limited
        When contact to control is regained
        Then the endpoint is not limited
        And the log has "endpoint-cold" 0 times and "endpoint-warm" 0 times

    Scenario: Endpoints of a service that declares no cold time are never limited
        Given a service without a cold time
        When a heartbeat reports a cold time of 2500 ms
        And a response reports a cold time of 2500 ms
        And data centre "d" returns
        And contact to control is lost
        Then the endpoint is not limited
        And control is informed 0 times

    # Guards against look-ups for each endpoint and choice in deployments that declare no cold time.
    Scenario: Where no service declares a cold time, no endpoint is looked up
        Given a service without a cold time
        When 2 requests are sent to the endpoint
        And a response reports a cold time of 2500 ms
        Then the endpoint is not limited
        And 0 endpoints were looked up

    Scenario Outline: The route table tells whether a service declares a cold time after <updates>
        When a route table applies <updates>
        Then a cold time is <declared>

        Examples:
            | updates                                                        | declared     |
            | nothing                                                        | not declared |
            | a snapshot without a cold time                                 | not declared |
            | a snapshot with a cold time                                    | declared     |
            | a snapshot with a cold time, a difference without a cold time  | not declared |
            | a snapshot without a cold time, a difference with a cold time  | declared     |

    # Guards against a leader that grants permits beside what gateways have sent just before.
    Scenario: Wants tell control until it answers what was sent within the last second without a permit
        When 2 requests are sent to the endpoint
        And 600 ms go by
        And 3 requests are sent to the endpoint
        And 600 ms go by
        And a heartbeat reports a cold time of 2500 ms
        Then a want tells control of 3 requests
        And a want tells control of 3 requests
        When control has answered a want
        Then a want tells control of 0 requests
