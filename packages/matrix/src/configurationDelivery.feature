@configuration-delivery
Feature: Configuration changes reach every gateway in time, however large the configuration is

    # Guards against deliveries whose cost grows with the configuration: every member sent the whole configuration for
    # each change, so that versions queued on the gateways' connections and requests ran under revoked keys.
    Scenario: Changes that follow each other quickly are in force at every gateway within 2 s
        Given 5 control members and 12 gateways with links of 5 MB per second each, and a configuration of 1720 routes
        When a key is revoked every 400 ms for 10 s
        Then each version was in force at every gateway within 2000 ms of its confirmation

    Scenario: Changes that follow the addition of many routes are in force at every gateway within 2 s
        Given 5 control members and 12 gateways with links of 5 MB per second each, and a configuration of 40 routes
        When 1720 routes are added and a key is revoked every 400 ms for 4 s
        Then each version was in force at every gateway within 2000 ms of its confirmation

    Scenario: A gateway reads from another member if one does not answer
        Given 2 control members and 4 gateways with links of 5 MB per second each, and a configuration of 40 routes
        And the first member does not answer reads
        When a key is revoked every 1500 ms for 6 s
        Then each version was in force at every gateway within 2000 ms of its confirmation

    # Guards against timeouts that cause a large answer to be asked for again while it is still under way.
    Scenario: Gateways that all start at once read a large configuration once each
        Given 5 control members and 300 gateways with links of 5 MB per second each, and a configuration of 2000 routes
        Then the gateways have read less than 2 copies of it each

    # Guards against requests that run by a configuration that the gateway knows to be superseded.
    Scenario: A gateway that cannot read a newer version stops serving by the older one before 2 s have passed
        Given 1 control members and 1 gateways with links of 5 MB per second each, and a configuration of 40 routes
        And the first member does not answer reads
        When a key is revoked
        Then the gateway is behind after 1600 ms, but not after 1400 ms
        When the first member answers reads again
        Then the gateway has version 2 and is not behind

    # Guards against evacuations that gateways don't read from members of earlier builds, or miss since they come between
    # configurations, and against snapshots or differences of one member that undo what another has sent.
    Scenario Outline: Evacuations are in force at every gateway within 500 ms, whichever builds the members run
        Given 3 control members and 12 gateways with links of 2 MB per second each, and a configuration of 200 routes
        And <earlier> of the members run an earlier build
        When "a" is evacuated, a key is revoked, "b" is evacuated and the evacuation of "a" is withdrawn, 1 s after each other
        Then each of them was in force at every gateway within 500 ms
        And a gateway that starts now has evacuated "b" only, before it serves

        Examples:
            | earlier |
            | 0       |
            | 2       |
            | 3       |
