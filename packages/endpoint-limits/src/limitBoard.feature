@limit-board
Feature: The newest response decides which limit of an endpoint is in force

    Scenario: A limit is in force until a response to a later request does not name it
        When a response names the limit 2 at 1000 ms
        Then the limit is 2 at 50000 ms
        When a response names no limit to a request sent at 60000 ms
        Then the limit is 2 at 60000 ms
        And the limit is 8 at 61000 ms
        And there is no limit at 64000 ms

    # Guards against a response that was on its way while the endpoint began to limit its requests.
    Scenario: A response to a request that was sent before the limit was named does not end it
        When a response names the limit 2 at 1000 ms
        And a response names no limit to a request sent at 900 ms
        Then the limit is 2 at 5000 ms

    Scenario: A delayed fact that names a limit does not bring back one that has ended
        When a response names the limit 2 at 1000 ms
        And a response names no limit to a request sent at 2000 ms
        And a response names the limit 2 at 1500 ms
        Then there is no limit at 7000 ms

    Scenario: A limit that is named again after its end is in force at once
        When a response names the limit 2 at 1000 ms
        And a response names no limit to a request sent at 2000 ms
        And a response names the limit 3 at 3000 ms
        Then the limit is 3 at 3000 ms

    # Guards against an endpoint that gets no request whose response could show that it serves again.
    Scenario: An endpoint that accepts nothing still gets a request now and then
        When a response names the limit 0 at 1000 ms
        Then the limit is 0.5 at 1000 ms

    Scenario: Only changes are passed on
        When a response names the limit 2 at 1000 ms
        Then a fact that names the limit 2 at 1100 ms is no change
        And a fact that names the limit 3 at 1200 ms is a change
        And a fact that names the limit 4 at 1150 ms is no change

    Scenario: Limits of endpoints that no longer exist are dropped
        When a response names the limit 2 at 1000 ms
        And its endpoint no longer exists
        Then there is no limit at 2000 ms

    Scenario: Permits come at the rate of the limit, whoever asks, and few of them accumulate
        When a response names the limit 2 at 1000 ms
        Then a gateway that wants 5 permits at 1000 ms gets 0
        And a gateway that wants 5 permits at 1500 ms gets 1
        And another gateway that wants 5 permits at 1500 ms gets 0 and is told to return after 2500 to 5500 ms
        And a gateway that wants 5 permits at 60000 ms gets 1

    # Guards against permits that are held until they come together, or on top of what was sent before the cold time was known.
    Scenario: Permits for a cold endpoint come at its rate, are valid for a short time, and leave room for what was sent before
        Then a gateway that wants 9 permits of a cold endpoint with a rate of 32 at 1000 ms gets 0
        And a gateway that wants 9 permits of a cold endpoint with a rate of 32 at 1100 ms gets 3
        And a gateway that wants 9 permits of a cold endpoint with a rate of 32 at 9000 ms gets 3
        And the permits of a cold endpoint are valid for 200 ms
        When a gateway has sent 45 requests to a cold endpoint before 9000 ms
        Then a gateway that wants 9 permits of a cold endpoint with a rate of 32 at 9500 ms gets 0
        And a gateway that wants 9 permits of a cold endpoint with a rate of 32 at 10300 ms gets 3

    Scenario: The smaller of the cold rate and a limit that the endpoint names applies
        When a response names the limit 10 at 1000 ms
        Then a gateway that wants 9 permits of a cold endpoint with a rate of 32 at 1000 ms gets 0
        And a gateway that wants 9 permits of a cold endpoint with a rate of 32 at 1110 ms gets 1

    # Guards against a cold endpoint that never gets a permit because the linked part of the bound is below one request.
    Scenario: While few of the gateways are linked, permits for a cold endpoint still come
        Given a part of 0.02 of the gateways is linked
        Then a gateway that wants 9 permits of a cold endpoint with a rate of 32 at 1000 ms gets 0
        And a gateway that wants 9 permits of a cold endpoint with a rate of 32 at 3000 ms gets 1
        And a gateway that wants 9 permits of a cold endpoint with a rate of 32 at 3100 ms gets 0 and is told to return after 1000 to 2000 ms

    # Guards against a leader that grants the whole rate while gateways without contact use shares of it.
    Scenario: While half of the gateways are linked, half of the cold rate is granted
        Given a part of 0.5 of the gateways is linked
        Then a gateway that wants 9 permits of a cold endpoint with a rate of 32 at 1000 ms gets 0
        And a gateway that wants 9 permits of a cold endpoint with a rate of 32 at 1100 ms gets 1
