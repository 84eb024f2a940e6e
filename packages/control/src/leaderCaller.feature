@leader-caller
Feature: A member gets a call answered by whichever member leads, within the caller's time

    # Guards against an order that waits for a former leader until its caller gives up, while another member leads.
    Scenario: An order is answered by a leader that is elected while the former one is silent
        Given the members "m1" and "m2", of which "m1" leads and is silent
        When an evacuation is ordered, and "m2" leads after 300 ms
        Then the order is answered by "m2" within 400 ms
        And "m1" got 1 calls and "m2" got 1 calls

    # Guards against an order that a leader with a slow disk confirms, and that is given up or repeated before that.
    Scenario: A slow leader that stays the leader is called once, and its answer counts
        Given the members "m1" and "m2", of which "m1" leads and answers after 800 ms
        When an evacuation is ordered
        Then the order is answered by "m1" within 850 ms
        And "m1" got 1 calls and "m2" got 0 calls

    # Guards against a late answer of a former leader that is dropped, although the order is in force.
    Scenario: The answer of a former leader counts also while the next one is silent
        Given the members "m1" and "m2", of which "m1" leads and answers after 500 ms
        And "m2" is silent
        When an evacuation is ordered, and "m2" leads after 100 ms
        Then the order is answered by "m1" within 550 ms

    # Guards against a single silent member that uses up the time while the leader is unknown.
    Scenario: While the leader is unknown, a silent member leaves time for the others
        Given the members "m1" and "m2", of which none is known to lead
        And "m1" is silent
        When an evacuation is ordered
        Then the order is answered by "m2" within 350 ms

    # Guards against an order that a process sends when it goes on, after its caller has had it confirmed elsewhere.
    Scenario: An order that could not be sent in time is not sent after a stall of this process
        Given the members "m1" and "m2", of which "m1" leads and answers after 1 ms
        And "m1" refuses calls
        When an evacuation is ordered, and this process stands still for 3000 ms while "m1" accepts calls again
        Then the order fails within 3100 ms
        And "m1" got 1 calls and "m2" got 0 calls

    # Guards against an order that is sent after its caller has closed the connection.
    Scenario: An order is not sent again once its caller has gone
        Given the members "m1" and "m2", of which "m1" leads and answers after 1 ms
        And "m1" refuses calls
        When an evacuation is ordered, and its caller goes after 100 ms
        Then the order fails within 200 ms

    # Guards against a command that takes effect twice.
    Scenario: A command that has another effect the second time is not sent to a second member
        Given the members "m1" and "m2", of which "m1" leads and is silent
        When an idempotency key is claimed, and "m2" leads after 300 ms
        Then the order fails within 900 ms
        And "m1" got 1 calls and "m2" got 0 calls
