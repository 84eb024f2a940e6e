@endpoint-choice
Feature: The choice by expected work serves short requests early beside long ones

    # Guards against gateways that all choose the group that the same late report shows as the least loaded, and against
    # a choice that counts a long request like a short one. A tenth of the requests have ten times the work.
    Scenario Outline: The p95 of short requests' first events is at most half of that under least reported load: <mix>, seed <seed>
        When 12 gateways send the mix "<mix>" to 12 groups at a utilization of 0.8 for 60 s of virtual time, with seed <seed>
        Then the p95 by expected work is at most 0.5 times that by "least reported load"
        And the p95 by expected work is at most 0.9 times that by "counts (former)"

        Examples:
            | mix        | seed |
            | long tenth | 1    |
            | long tenth | 2    |
            | long tenth | 3    |
            | uneven     | 1    |
