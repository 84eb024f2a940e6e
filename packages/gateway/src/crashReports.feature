@crash-reports
Feature: A gateway reports what ran on endpoints that ended, and refuses what is quarantined

    # Guards against crashes that are not counted because connections close before the loss is reported.
    Scenario Outline: What ran on an endpoint whose process has ended is reported
        Given an endpoint that runs the request "waiting", and on which "early" broke off <early> ms and "late" <late> ms ago
        When <event>
        Then a crash is reported with the requests "<requests>"

        Examples:
            | early | late | event                                      | requests             |
            | 500   | 100  | its process ends                           | late, early, waiting |
            | 5000  | 100  | its process ends                           | late, waiting        |
            | 500   | 100  | a new process replaces it                  | late, early, waiting |
            | 500   | 100  | a new process sends a heartbeat first      | late, early, waiting |
            | 500   | 100  | it announces its leaving, and then ends    | none                 |
            | 500   | 100  | it departs, and then ends                  | none                 |
            | 500   | 100  | its VM restarts                            | none                 |
            | 500   | 100  | its sidecar is not heard of                | none                 |

    Scenario Outline: An endpoint without a sidecar has ended if it refuses connections after an attempt broke off
        Given an endpoint without a sidecar that <answer> connections
        When the request "bad" breaks off there
        Then a crash is reported with the requests "<requests>"

        Examples:
            | answer  | requests |
            | refuses | bad      |
            | accepts | none     |

    # Guards against bodies that stay in memory as long as an endpoint lives.
    Scenario: What is kept of attempts that broke off is small
        Given an endpoint without a sidecar that accepts connections
        When 1000 requests break off there
        Then traits of 64 of them are kept, and not the requests themselves

    Scenario: A quarantined request is refused, and others are not
        Given the gateway has read that the request "bad" is quarantined after 3 crashes
        Then the request "bad" is refused with "request bad is quarantined: 3 endpoints ended while they ran it"
        And the request "other" is not refused
        When the gateway has read that the request "bad" is released
        Then the request "bad" is not refused

    Scenario: Requests with a quarantined prompt part are refused, and others with their other parts are not
        Given the gateway has read that the prompt part "bad" is quarantined after 5 crashes
        Then a request with the prompt parts "first, bad" is refused with "prompt-part bad is quarantined: 5 endpoints ended while they ran requests with it"
        And a request with the prompt parts "first, other" is not refused

    Scenario: A prompt part that has survived here before a crash is reported as soon as the crash is known
        Given a request with the prompt parts "first, middle" has run to its end
        When a crash is known with a request that has the prompt parts "first, bad"
        Then survivals are reported of "first"

    Scenario: A request is identified by account, method, path and body
        Then requests of the same account, method, path and body have the same fingerprint, and all others another

    Scenario: The survival of what ran at a crash is reported, once for each interval
        Given a gateway that knows of a crash with the requests "a, b"
        When the requests "a, c, a" run to their end
        Then survivals are reported of "a"
        When another crash is known with the requests "a"
        And the requests "a" run to their end
        Then survivals are reported of "a, a"

    Scenario: A control member that links again gets the newest reports
        Given a gateway that has reported 40 crashes
        Then a linked member gets 32 reports, the newest last
