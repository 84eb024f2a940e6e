@capacity-run
Feature: Several gateways share the capacity of a model's groups under load that exceeds it

    # Four gateways and twelve groups in virtual time, requests of three ranks with one objective, in a random order. Each load
    # pattern also runs with admission by the predicted first event only, which sends late requests wherever a slot is free.

    # Guards against refusals where there is capacity.
    Scenario: Below the capacity, nothing is refused for its rank or account
        Given load pattern "0.7 of the capacity"
        When it runs with admission by rank and by first event only, and callers return as told
        Then no request is refused for its rank or account
        And rank 0 is served in time at least 0.00 more often than by first event only

    Scenario Outline: <pattern>
        Given load pattern "<pattern>"
        When it runs with admission by rank and by first event only, and callers <return>
        Then rank 0 is served in time at least <more> more often than by first event only
        And no rank is served in time less often than a less urgent one
        And each rank, account and largest tenth gets its least part
        And requests are refused again at most <part> times as often as by first event only

        Examples:
            | pattern                                                     | return              | more | part |
            | burst of 1.8 times the most urgent rank over 4 s            | return as told      | 0.05 | 0.2  |
            | wave with its crest at 1.3 of the capacity                  | return as told      | 0.05 | 0.1  |
            | loss of a third of the groups at 0.85 of the capacity       | return as told      | 0.05 | 0.1  |
            | one account that offers most of 1.3 of the capacity         | return as told      | 0.05 | 0.1  |
            | burst of 2.4 times the least urgent rank over 6 s           | return as told      | 0.05 | 0.1  |
            | loss of a third of the groups at 0.85 of the capacity       | mostly return early | 0.00 | 0.2  |
            | one account that offers most of 1.3 of the capacity         | mostly return early | 0.00 | 0.2  |
            | loss of a third of the groups, without totals from control  | return as told      | 0.05 | 0.1  |
