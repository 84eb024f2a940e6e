@recovery-planning
Feature: After a power failure of all control members and gateways, standing groups are left alone

    Background:
        Given models of 8 and 4 endpoints with declared shares 0.5 and 0.5, in 3 domains of 19 engines
        When the share of the large model is 0.3 for 30 s

    # Guards against a new leader that plans by what it knows so far: a group of which it knows nothing seems to be missing.
    Scenario Outline: No order is given while heartbeats and sidecars report one after another
        When all control members lose power, and heartbeats arrive within <heartbeatMs> ms and sidecars within <sidecarMs> ms, with seed <seed>
        And the domain "d0" is known only after <lateMs> ms
        And the control members run for 15 s
        Then no order was given after the power failure
        And 2 large and 8 small groups serve

        Examples:
            | heartbeatMs | sidecarMs | lateMs | seed |
            | 1200        | 2500      | 0      | 1    |
            | 1200        | 2500      | 4000   | 2    |
            | 1200        | 8000      | 0      | 3    |
            | 4000        | 8000      | 0      | 4    |

    # Guards against rebalances by counts of a part of the groups: a group with a lost member is repaired, no other is dissolved.
    Scenario Outline: Groups that lost members during the outage are repaired within 6 s, and no other is dissolved
        When all control members lose power, and heartbeats arrive within 1200 ms and sidecars within 2500 ms, with seed <seed>
        And 2 endpoints are lost meanwhile
        And the control members run for 15 s
        Then no group was dissolved for another model
        And 10 groups serve after at most 6 s

        Examples:
            | seed |
            | 1    |
            | 2    |
            | 3    |

    Scenario: A group that stood before the process shows that callers have been served
        Then a leader that has restarted knows that callers have been served
        And a leader that formed the groups itself does not
