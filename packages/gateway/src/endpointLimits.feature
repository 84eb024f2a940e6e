@endpoint-limits
Feature: A gateway knows the limits that endpoints name

    # Guards against an invalid limit that ends a valid one, and against a log line for each response with it.
    Scenario: A limit that is not a number is logged once and leaves the last valid one in force
        Given an endpoint that names the limit "2"
        When 5 of its responses name the limit "many"
        Then 1 line says that a limit is invalid
        And its requests are limited

    Scenario: A limit above what any endpoint serves refuses nothing
        Given an endpoint that names the limit "999999999999"
        When control grants what it is asked for
        Then a request for it is sent after one call for permits

    Scenario: Each change is reported to control once
        Given an endpoint that names the limit "2"
        When 5 of its responses name the limit "2"
        And 1 of its responses name the limit "3"
        Then control has been told of the limits "2, 3"

    # Guards against a request that waits for a permit while control can't be reached.
    Scenario: While control does not answer, each of 4 gateways uses a quarter of the limit
        Given an endpoint that names the limit "4"
        When control does not answer, and a request is tried every 10 ms for 10 s
        Then 9 to 11 requests are sent

    # Guards against a leader that grants permits beside requests of which it never learns, since the call with them failed.
    Scenario: What was sent before an endpoint was cold is told again until control has granted
        Given an endpoint of a service with a cold time, to which 3 requests were sent
        When control does not answer, and the endpoint becomes cold
        And control answers again
        And 600 ms pass without a request
        Then control was told of 3 requests in each failed call, and once in a call that it answered

    # Guards against a permit that is used long after it was granted, beside those that were granted since.
    Scenario: Permits expire
        Given an endpoint that names the limit "2"
        When control grants what it is asked for
        And 1100 ms pass without a request
        Then there is no permit for it
