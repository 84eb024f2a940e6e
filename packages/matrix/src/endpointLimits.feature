@limit-simulation
Feature: All gateways together send an endpoint no more than the limit that it names

    Background:
        Given endpoints that name their limit from second 2 to second 22

    # Guards against gateways that each use the whole limit, and against a part of it that is too small to be used.
    Scenario Outline: The limit holds over all gateways, and is used
        Given <endpoints> endpoints with a limit of <limit> and <gateways> gateways that get <requests> requests a second
        When 30 seconds pass
        Then for no endpoint a window of 4 s has more than 1.5 times the limit and 5 requests
        And the endpoints get at least <used> requests while they are limited
        And within 1 s of its end each endpoint gets no more than 4 times the limit and 5 requests
        And no gateway takes an endpoint for limited

        Examples:
            | endpoints | limit | gateways | requests | used |
            | 1         | 1.33  | 5        | 10       | 20   |
            | 3         | 1.33  | 5        | 40       | 60   |
            | 3         | 1.33  | 190      | 40       | 60   |
            | 1         | 20    | 2        | 100      | 320  |
            | 2         | 200   | 5        | 1000     | 6000 |
            | 100       | 0.7   | 20       | 400      | 1100 |
            | 3         | 0     | 5        | 20       | 10   |

    # Guards against grants by two leaders, and against gateways that send without limit while there is none.
    Scenario Outline: The limit holds while leaders are replaced, gateways restart, and control can't be reached
        Given <endpoints> endpoints with a limit of <limit> and <gateways> gateways that get <requests> requests a second
        When 6 seconds pass
        And the leader is replaced after <without> ms without one
        And gateway 1 restarts
        And 2 seconds pass
        And gateway 0 is cut off from control for 3000 ms
        And control can't be reached for 3000 ms
        And gateway 0 restarts
        And the leader is replaced after 200 ms without one
        And 14 seconds pass
        Then for no endpoint a window of 4 s has more than 1.5 times the limit and 5 requests
        And no gateway takes an endpoint for limited

        Examples:
            | endpoints | limit | gateways | requests | without |
            | 1         | 1.33  | 5        | 10       | 1500    |
            | 3         | 1.33  | 5        | 40       | 400     |
            | 3         | 2     | 40       | 40       | 1500    |
            | 1         | 20    | 2        | 100      | 1500    |
            | 3         | 0     | 5        | 20       | 1500    |

    # Guards against a limit that is kept because the requests that would show its end are never sent.
    Scenario: Endpoints without requests for a while are no longer limited once they serve one that names no limit
        Given 3 endpoints with a limit of 0.1 and 5 gateways that get 20 requests a second
        When 10 seconds pass
        And 15 seconds without requests pass
        And 10 seconds pass
        Then no gateway takes an endpoint for limited
