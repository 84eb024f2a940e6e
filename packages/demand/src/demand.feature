@demand
Feature: Gateways measure the work that callers offer, and control merges the figures

    Background:
        Given a service with models "big" of 8 and "small" of 4 endpoints, of pace 1 and 0.6

    # Guards against a planner that sees only what is served: refused callers return, and each return would count again.
    Scenario: A request that returns after a refusal is not counted again
        When 10 requests of "big" arrive, and each returns 4 times
        Then the meter reports 10 requests of "big"

    Scenario: A gateway without demand reports nothing
        When 1 requests of "big" arrive, and each returns 0 times
        Then the meter reports 1 requests of "big"
        And the meter reports nothing

    # Guards against one caller who directs engines to a model by a header.
    Scenario: A request with a forged size counts for no more than a group's memory holds
        When a request of "big" names 1000000000 prompt tokens and one names 100000
        Then both have the same work

    Scenario: Requests of models that the profile does not list are not counted
        When 5 requests of "other" arrive, and each returns 0 times
        Then the meter reports nothing

    Scenario: Work counts the endpoints of a group
        When 10 requests of "big" arrive, and each returns 0 times
        And 10 requests of "small" arrive, and each returns 0 times
        Then the work of "big" is 3.333 times that of "small"

    Scenario: Shares are known after 2 s, summed over gateways
        When 12 gateways report 30 of "big" and 70 of "small" each second for 1 s
        Then no shares are known
        When 12 gateways report 30 of "big" and 70 of "small" each second for 2 s
        Then the share of "small" is 0.7
        And the total of "small" is 840 per second

    # A share of a few requests says nothing: a model would lose its groups to chance.
    Scenario: No shares are computed from a few requests
        When 1 gateways report 0.3 of "big" and 0.7 of "small" each second for 10 s
        Then no shares are known

    Scenario: The figures of a gateway that is lost end within 5 s
        When 1 gateways report 1000 of "big" and 0 of "small" each second for 10 s
        And 1 gateways report 0 of "big" and 1000 of "small" each second for 4 s under another name
        Then the share of "small" is 0.8
        When 1 gateways report 0 of "big" and 1000 of "small" each second for 2 s under another name
        Then the share of "small" is 1

    Scenario Outline: Invalid figures are ignored
        When 12 gateways report 30 of "big" and 70 of "small" each second for 3 s
        And a gateway reports <work> ms of work of "big" in <interval> ms
        Then the report is refused
        And the share of "small" is 0.7

        Examples:
            | work     | interval |
            | -1       | 1000     |
            | NaN      | 1000     |
            | Infinity | 1000     |
            | 1e12     | 1000     |
            | 100      | 0        |

    Scenario: Totals of the leader are used for 3 s
        When the leader sends a total of 500 ms of "big"
        Then the total is known after 2900 ms
        And the total is not known after 3100 ms
