@leaving-simulation
Feature: Endpoints that say in their responses that they leave get nothing new from any gateway

    # Guards against gateways that each learn of a leaving endpoint from a request of their own.
    Scenario Outline: All gateways know soon after the first such response
        Given <endpoints> endpoints, of which <leaving> leave from second 3 on, and <gateways> gateways that get <requests> requests a second
        When <seconds> seconds of requests pass
        Then no leaving endpoint gets a request later than 500 ms after its first such response

        Examples:
            | endpoints | leaving | gateways | requests | seconds |
            | 3         | 1       | 3        | 60       | 100     |
            | 3         | 3       | 5        | 100      | 10      |
            | 40        | 20      | 35       | 1000     | 10      |

    # Guards against a gateway that control can't tell, and against gateways and members that restart and forget.
    Scenario Outline: Cut gateways know from their own responses, and restarted processes from the others
        Given <endpoints> endpoints, of which <leaving> leave from second 3 on, and <gateways> gateways that get <requests> requests a second
        When 2 seconds of requests pass
        And gateway 0 is cut off from all members
        And 4 seconds of requests pass
        And all members restart
        And 2 seconds of requests pass
        And the cut of gateway 0 ends
        And gateway 1 restarts and forgets all it knew
        And 4 seconds of requests pass
        Then no leaving endpoint gets a request later than 500 ms after its first such response from a gateway that was not cut
        And gateway 0 sends no leaving endpoint a request later than 500 ms after its own first such response

        Examples:
            | endpoints | leaving | gateways | requests |
            | 3         | 1       | 3        | 60       |
            | 10        | 5       | 8        | 200      |
