@evacuation-orders
Feature: Orders to evacuate a data centre are acknowledged only once they are in force for good

    Background:
        Given a control group of 3 members that knows the data centres "a", "b" and "c"

    # Guards against acknowledgements of orders that only one process or one disk holds.
    Scenario: Acknowledged orders outlive the leader and an end of all processes
        When "a" is evacuated at a follower
        And the leader's process ends
        And "b" is evacuated at a follower
        And the evacuation of "a" is withdrawn at a follower
        And all processes end and start again
        Then all 3 orders were acknowledged
        And at every member "b" is evacuated

    # Guards against callers that resend an order many times and fill the log, the audit trail or the stored results.
    Scenario: A resent order is acknowledged again and stores nothing
        When "a" is evacuated at a follower
        And "a" is evacuated at every member 100 times
        And the evacuation of "b" is withdrawn at every member 100 times
        Then all 601 orders were acknowledged
        And the leader's log, audit trail and stored results hold 1 order

    # Guards against a member that acknowledges an order by its own state, in which a later withdrawal is missing.
    Scenario: A member that has not received a withdrawal acknowledges a new order only once that is in force
        When "a" is evacuated at a follower
        And that follower receives nothing more, but reaches the leader
        And the evacuation of "a" is withdrawn at the leader
        And "a" is evacuated at that follower
        Then all 3 orders were acknowledged
        And at the leader "a" is evacuated

    # Guards against a resent order that is acknowledged by a state that an earlier entry of the log is about to change.
    Scenario: An order after an opposite one that is not committed yet is not acknowledged before it
        When "a" is evacuated at a follower
        And all members are cut off from each other for 100 ms
        And the evacuation of "a" is withdrawn at the leader, without waiting
        And "a" is evacuated at the leader, without waiting
        Then no further order is acknowledged
        When the members reach each other again
        Then all 3 orders were acknowledged
        And at every member "a" is evacuated

    # Guards against orders that a cut-off leader acknowledges, and against callers that wait longer than a second.
    Scenario: Without a majority no order is acknowledged, and callers know within 1000 ms
        When "a" is evacuated at a follower
        And all members are cut off from each other for 5000 ms
        And "a" is evacuated at that follower
        And the evacuation of "a" is withdrawn at that follower
        Then 1 order was acknowledged and 2 failed within 1000 ms with "send it again"

    Scenario: Opposite orders at the same time are both acknowledged, and all members agree
        When "a" is evacuated at a follower, without waiting
        And the evacuation of "a" is withdrawn at the leader, without waiting
        Then all 2 orders were acknowledged
        And all members agree

    # Guards against names without end in the replicated state, and against evacuations that nobody can withdraw.
    Scenario: Only known data centres can be evacuated, and a former one can be withdrawn
        When "x" is evacuated at a follower
        Then 0 orders were acknowledged and 1 failed with "known are a, b, c"
        When "a" is evacuated at the leader
        And "a" is no longer a known data centre
        And the evacuation of "a" is withdrawn at the leader
        Then 2 orders were acknowledged and 1 failed with "known are a, b, c"
        And at every member "" is evacuated

    # Guards against a copy of an order that undoes a newer one: its caller had it confirmed by another process (review/11).
    Scenario Outline: An order that is held up on its way to the leader does not undo a later, opposite one
        Given <before>
        When calls between members are held up
        And <old> at a follower, without waiting
        And the callers move on
        And <old> at the leader
        And <new> at the leader
        And the calls arrive
        Then at every member "<evacuated>" is evacuated
        And 1 call has arrived after its sender gave up

        Examples:
            | before                          | old                                   | new                                   | evacuated |
            | "a" is evacuated at the leader  | the evacuation of "a" is withdrawn    | "a" is evacuated                      | a         |
            | "b" is evacuated at the leader  | "a" is evacuated                      | the evacuation of "a" is withdrawn    | b         |

    # Guards against copies of an order at several members, of which one takes effect after a newer order.
    Scenario: A copy that a silent leader holds has no effect once another leader has confirmed later orders
        When "a" is evacuated at a follower
        And the leader is silent
        And the evacuation of "a" is withdrawn at that follower, without waiting
        And another member leads
        And the evacuation of "a" is withdrawn at the new leader
        And "a" is evacuated at the new leader
        And the former leader goes on
        Then at every member "a" is evacuated

    # Guards against orders that a process carries out when it wakes, long after their caller had them confirmed elsewhere.
    Scenario Outline: An order that waited at a member that stood still has no effect
        Given <before>
        When <old> at the leader
        And <new> at the leader
        And <old> at a follower that has stood still for 1050 ms
        Then 3 orders were acknowledged and 1 failed with "it may have waited here for 1050 ms"
        And at every member "<evacuated>" is evacuated

        Examples:
            | before                          | old                                   | new                                   | evacuated |
            | "a" is evacuated at the leader  | the evacuation of "a" is withdrawn    | "a" is evacuated                      | a         |
            | "b" is evacuated at the leader  | "a" is evacuated                      | the evacuation of "a" is withdrawn    | b         |

    # Guards against refusals of sound orders: a member that lags has seen none of the changes that its order follows.
    Scenario: An order on an idle connection is sent back once if the data centre has changed, and then confirmed
        When the evacuation of "a" is withdrawn on an idle connection that was last used before "a" was evacuated
        Then 1 order was acknowledged and 1 failed with "send it again if it is still wanted"
        And at every member "a" is evacuated
        When the evacuation of "a" is withdrawn at the leader
        Then at every member "" is evacuated
