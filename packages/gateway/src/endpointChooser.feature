@endpoint-chooser
Feature: A request's part of the capacity is decided before it is first sent

    # Guards against a return that is scheduled for a refusal that the caller never gets, and against one for each evaluation.
    Scenario: A refused request has one return, in the time that the caller has left
        Given a gateway with 3 groups that use 60 of 34 slots
        When a request with an objective of 400 ms and 20000 ms left chooses an endpoint
        Then it is refused with no-room for late, and returns after 150 to 16000 ms
        And 1 return is scheduled, and 1 capacity-shared line is logged

    Scenario: A request that can't be answered after any return is told the end of its time
        Given a gateway with 3 groups that use 60 of 34 slots
        When a request with an objective of 400 ms and 900 ms left chooses an endpoint
        Then it is refused with no-room for late, and returns after 900 to 900 ms
        And 0 returns are scheduled, and 1 capacity-shared line is logged

    Scenario: A request that is late is not sent while the slots are used by others
        Given a gateway with 3 groups that use 28 of 34 slots
        When a request with an objective of 10 ms and 20000 ms left chooses an endpoint
        Then it is sent
        When a request with an objective of 140 ms and 20000 ms left chooses an endpoint
        Then it is refused with no-room for late, and returns after 150 to 16000 ms

    # Guards against an answer that breaks off because its gateway refuses what it has accepted.
    Scenario: A request that has been sent once goes on while its group has a free slot
        Given a gateway with 3 groups that use 28 of 34 slots
        When a request with an objective of 140 ms and 20000 ms left that has been sent to a group chooses an endpoint
        Then it is sent
