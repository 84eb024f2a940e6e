@demand-task
Feature: Control members record the demand, and the leader plans by it and sends the totals to gateways

    Background:
        Given a control member that a gateway watches, and a service with models "a" and "b" of declared shares 0.5

    # Guards against admission that counts the totals of several members, or those of one that has lost contact.
    Scenario Outline: Only the leader sends totals
        Given the member leads: <leads>
        When a gateway reports 200 requests of "a" and 600 of "b" each second for 3 s
        Then the watching gateway has received totals: <leads>

        Examples:
            | leads |
            | yes   |
            | no    |

    Scenario: The leader plans by measured shares, and logs a change of them once
        Given the member leads: yes
        When a gateway reports 200 requests of "a" and 600 of "b" each second for 3 s
        Then a plan uses the share 0.75 of "b"
        And 1 lines "model-shares-changed" are logged

    Scenario: A member that begins to lead knows the demand
        Given the member leads: no
        When a gateway reports 200 requests of "a" and 600 of "b" each second for 3 s
        And the member begins to lead
        Then a plan uses the share 0.75 of "b"

    Scenario: A report with invalid figures is ignored and logged
        Given the member leads: yes
        When a gateway reports -1 requests of "a" and 600 of "b" each second for 3 s
        Then a plan uses the share 0.5 of "b"
        And 1 lines "input-refused" are logged
