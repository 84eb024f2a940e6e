@endpoint-registry
Feature: Facts about endpoints are merged by their start times and sequence numbers, not by their arrival

    Scenario: A delayed heartbeat of an older incarnation does not restore it
        Given endpoint "a" started at 100 sends a heartbeat from "h:1" with sequence 5
        And endpoint "b" started at 200 sends a heartbeat from "h:1" with sequence 1
        When endpoint "a" started at 100 sends a heartbeat from "h:1" with sequence 6
        Then the endpoints are "b"

    Scenario: A restart under the same id starts a new sequence
        Given endpoint "a" started at 100 sends a heartbeat from "h:1" with sequence 50
        When endpoint "a" started at 200 sends a heartbeat from "h:1" with sequence 1
        Then endpoint "a" has the newest start time 200

    Scenario: Leaving is final for an incarnation
        Given endpoint "a" started at 100 sends a heartbeat from "h:1" with sequence 1
        And endpoint "a" started at 100 announces from "h:1" with sequence 2 that it is leaving
        When endpoint "a" started at 100 sends a heartbeat from "h:1" with sequence 3
        Then endpoint "a" is leaving

    Scenario: A departed endpoint is not restored until a new incarnation starts
        Given endpoint "a" started at 100 sends a heartbeat from "h:1" with sequence 1
        And endpoint "a" started at 100 departs
        When endpoint "a" started at 100 sends a heartbeat from "h:1" with sequence 2
        Then the endpoints are ""
        When endpoint "a" started at 300 sends a heartbeat from "h:1" with sequence 1
        Then the endpoints are "a"

    Scenario: A departed endpoint receives no new requests and is not lost while it completes its running ones
        Given endpoint "a" started at 100 sends a heartbeat from "h:1" with sequence 1
        When endpoint "a" started at 100 departs
        Then endpoint "a" is leaving
        And endpoint "a" is alive
        When the sidecar of "h:1" no longer reaches incarnation 100
        Then endpoint "a" is lost

    Scenario: An endpoint that its sidecar cannot reach is lost, and a new incarnation is alive
        Given endpoint "a" started at 100 sends a heartbeat from "h:1" with sequence 1
        When the sidecar of "h:1" no longer reaches incarnation 100
        Then endpoint "a" is lost
        When endpoint "c" started at 300 sends a heartbeat from "h:1" with sequence 1
        And the sidecar of "h:1" reaches incarnation 300
        Then the endpoints are "c"
        And endpoint "c" is alive

    # Guards against one entry of another writer that takes a sound endpoint out of use for as long as it is remembered.
    Scenario: An endpoint whose heartbeats outlive the announcement of its address by another is alive
        Given endpoint "a" started at 100 sends a heartbeat from "h:1" with sequence 1
        And endpoint "b" started at 200 sends a heartbeat from "h:1" with sequence 1
        Then endpoint "a" is lost
        When endpoint "a" started at 100 goes on with its heartbeats from "h:1" for 4000 ms
        Then endpoint "a" is alive

    Scenario: An endpoint whose address another one uses stays lost
        Given endpoint "a" started at 100 sends a heartbeat from "h:1" with sequence 1
        And endpoint "b" started at 200 sends a heartbeat from "h:1" with sequence 1
        When endpoint "b" started at 200 goes on with its heartbeats from "h:1" for 4000 ms
        And a heartbeat of endpoint "a" started at 100 from "h:1" arrives 4000 ms late
        Then endpoint "a" is lost

    # Guards against one entry that dissolves a group that serves.
    Scenario: An endpoint that its sidecar reaches does not lose its address to an announcement
        Given endpoint "a" started at 100 sends a heartbeat from "h:1" with sequence 1
        When the sidecar of "h:1" reaches incarnation 100
        And endpoint "b" started at 200 sends a heartbeat from "h:1" with sequence 1
        Then endpoint "a" is alive
        When the sidecar of "h:1" reaches incarnation 200
        Then endpoint "a" is lost

    # Guards against a sound endpoint that one entry of another writer, with its id and a later start, replaces for good.
    Scenario: An endpoint whose heartbeats outlive the announcement of a later start under its id is alive
        Given endpoint "a" started at 100 sends a heartbeat from "h:1" with sequence 1
        And endpoint "a" started at 200 sends a heartbeat from "h:9" with sequence 1
        Then endpoint "a" has the newest start time 200
        When endpoint "a" started at 100 goes on with its heartbeats from "h:1" for 5000 ms
        Then endpoint "a" has the newest start time 100
        And endpoint "a" is alive
        # The same announcement again changes nothing while the endpoint goes on.
        When a heartbeat of endpoint "a" started at 200 from "h:9" arrives 5500 ms late
        Then endpoint "a" has the newest start time 100

    Scenario: An endpoint that has started again under its id stays replaced
        Given endpoint "a" started at 100 sends a heartbeat from "h:1" with sequence 1
        And endpoint "a" started at 200 sends a heartbeat from "h:9" with sequence 1
        When endpoint "a" started at 200 goes on with its heartbeats from "h:9" for 6000 ms
        And a heartbeat of endpoint "a" started at 100 from "h:1" arrives 6500 ms late
        Then endpoint "a" has the newest start time 200
        And endpoint "a" is alive

    Scenario: Facts produce the same endpoints in any order of arrival
        Given 60 random facts for each of 30 seeds
        Then every order of arrival produces the same endpoints

    Scenario Outline: An endpoint's process has ended by itself only if the sidecar beside it has run on
        Given endpoint "a" started at 100 sends a heartbeat from "h:1" with sequence 1
        And the sidecar of "h:1" reaches incarnation 100
        When the sidecar of "h:1" <event>
        Then endpoint "a" is lost
        And the process of endpoint "a" has ended by itself: <result>

        Examples:
            | event                                                    | result |
            | no longer reaches incarnation 100                        | yes    |
            | reaches incarnation 300                                  | yes    |
            | has started again and reaches incarnation 300            | no     |
            | has started again, reaches none and then incarnation 300 | no     |

    # Guards against an endpoint that is used again because the fact of its leaving expired before it ended.
    Scenario: An endpoint that sends heartbeats on for long after its departure is still leaving
        Given endpoint "a" started at 100 sends a heartbeat from "h:1" with sequence 1
        And endpoint "a" started at 100 departs
        When endpoint "a" started at 100 sends a heartbeat from "h:1" every 500 ms for 5000 ms
        Then endpoint "a" is leaving
        When endpoint "a" started at 300 sends a heartbeat from "h:1" with sequence 1
        Then the endpoints are "a"

    # Guards against a process that forgets no id, and whose memory entries under ever new ids fill.
    Scenario: Entries under ever new ids are known up to a limit, and known endpoints go on
        Given a registry of at most 100 endpoints
        And endpoint "a" started at 100 sends a heartbeat from "h:1" with sequence 1
        When 1000 entries under new ids arrive within 5 s
        Then 100 endpoints are known, and 901 entries were not recorded
        When endpoint "a" started at 100 goes on with its heartbeats from "h:1" for 12000 ms
        Then a new endpoint is recorded at 12000 ms
        And endpoint "a" is alive
        And the 99 ids that made room are reported as forgotten

    Scenario: Departures of ever new ids are known up to a limit
        Given a registry of at most 100 endpoints
        When 1000 departures of new ids arrive within 5 s
        Then 100 facts are known

    # Guards against a late heartbeat that ends a cold time, and against one source that hides what the other says.
    Scenario: An endpoint is cold until the latest time that its newest heartbeat or observation names
        Given endpoint "a" started at 100 sends a heartbeat with sequence 2 and a cold time of 2000 ms at 1000 ms
        Then endpoint "a" is cold until 3000 ms
        When endpoint "a" started at 100 sends a heartbeat with sequence 1 and a cold time of 0 ms at 1100 ms
        Then endpoint "a" is cold until 3000 ms
        When the sidecar observes a cold time of 2500 ms of endpoint "a" started at 100 at 1200 ms
        Then endpoint "a" is cold until 3700 ms
        When endpoint "a" started at 100 sends a heartbeat with sequence 3 and a cold time of 0 ms at 2200 ms
        Then endpoint "a" is cold until 3700 ms
        When endpoint "a" started at 200 sends a heartbeat with sequence 1 and a cold time of 0 ms at 2300 ms
        Then endpoint "a" is cold until 0 ms

    # Guards against a renewed cold time that is held back as load, and against a running one that is passed on each time.
    Scenario Outline: A cold time of <known> ms and then <next> ms is <kind>
        Then a cold time of <known> ms and then <next> ms is <kind>

        Examples:
            | known | next | kind      |
            | 0     | 0    | unchanged |
            | 0     | 2500 | a change  |
            | 2500  | 1300 | unchanged |
            | 1300  | 2500 | a change  |
            | 1300  | 0    | a change  |
