@request-cost
Feature: The cost of requests and the work of endpoints are estimated from what is observed

    # Guards against an estimate without history that is not that of the engine profile or of the hint.
    Scenario: Before the first answer, the hint counts as the median, and the profile's usual answer without one
        Then a generation with the hint 400 is estimated at a median of 400 tokens
        And a generation without a hint is estimated at a median of 100 tokens
        And a generation with the hint 400 and a maximum of 50 is estimated at 50 tokens at most

    # Guards against hints that are believed although they tell nothing.
    Scenario: Hints that tell nothing are replaced by what the route's answers took
        Given 200 answers of 120 to 180 tokens on a route, with hints of 10 to 2000
        Then a generation with the hint 10 is estimated at a mean of 100 to 200 tokens
        And a generation with the hint 2000 is estimated at a mean of 100 to 200 tokens

    # Guards against a caller that gains by hints that are too low, and against its hints harming other accounts.
    Scenario: An account's answers weigh more than its hints, and other accounts keep theirs
        Given 40 answers of 50 to 50 tokens of account "fair", with hints of 50 to 50
        And 20 answers of 1000 to 1000 tokens of account "forger", with hints of 10 to 10
        Then a generation of account "forger" with the hint 10 is estimated at a mean of 500 to 2000 tokens
        And a generation of account "fair" with the hint 50 is estimated at a mean of 25 to 150 tokens

    # Guards against a history that outweighs a lasting change.
    Scenario: After a change of the answers' length the estimate follows
        Given 500 answers of 100 to 100 tokens on a route, with hints of 100 to 100
        And 150 answers of 800 to 800 tokens on a route, with hints of 100 to 100
        Then a generation with the hint 100 is estimated at a mean of 500 to 1200 tokens

    # Guards against memory that grows with the accounts, and against values that make an estimate infinite.
    Scenario: Memory is bounded, and no value of a caller makes an estimate invalid
        Given an answer of each of 10000 accounts, with counts of 0 to 999999999
        Then at most 4096 histories are kept and all estimates are finite

    # Guards against waiting for a slot that is taken for work, which would raise the estimates in each overload.
    Scenario: The time of a plain request that waited for a slot is not taken for its work
        Given 50 plain requests of 21 ms
        And 50 plain requests of 500 ms that found no slot free
        Then a plain request is estimated at 15 to 30 ms

    # Guards against reports that are applied twice, out of order, or after the endpoint has started again.
    Scenario Outline: A report that is <kind> changes nothing
        Given an endpoint whose report of time 1000 states 5 running requests
        When a report of time <time> and incarnation <incarnation> states 9 running requests
        Then 5 requests count as running there

        Examples:
            | kind                     | time | incarnation |
            | late                     | 900  | 1           |
            | duplicated               | 1000 | 1           |
            | of a former incarnation  | 1100 | 0           |

    # Guards against own requests that are counted twice, or not at all, because a report is older than its arrival.
    Scenario: Own requests that were sent or ended while a report was on its way are counted once
        Given an endpoint with a request sent at 100, one sent at 110 that ended at 950, and two sent at 900
        When a report of time 1000 and incarnation 1 states 4 running requests
        Then 5 requests count as being there, 2 of them of others

    # Guards against the mean for each of others' requests, by which the first of many slots would be free far too late.
    Scenario: The requests of others end one after another
        Given an endpoint whose report of time 1000 states 34 running requests
        Then the first of them has at most 5 of 50 tokens left, and all together 45 to 55 on average

    # Guards against estimates that stay at their first value, or fall to nothing when a request outlives them.
    Scenario: Each event corrects what remains of a request, and one that outlives its estimate still has work
        Given an endpoint with a request of about 100 tokens
        Then after 50 tokens, 20 to 90 tokens remain
        And after 400 tokens, 10 to 400 tokens remain
        And after its end, no request is left there

    # Guards against the load of plain endpoints that is kept long after the only response that stated it.
    Scenario: What a response says of others' plain requests fades
        Given a plain endpoint whose response at 1000 states 10 requests
        Then with requests of 20 ms, its remaining work is 200 ms at 1000 and at most 10 ms at 2000
