@configuration-delivery
Feature: Configuration changes reach every member and gateway in time, however large the configuration is

    # Guards against deliveries whose cost grows with the configuration: every member sent the whole configuration for
    # each change, so that versions queued on the gateways' connections and requests ran under revoked keys.
    @configuration-queue
    Scenario: Changes that follow each other quickly are in force at every gateway within 2 s
        Given 5 control members and 12 gateways with links of 5 MB per second each, and a configuration of 1720 routes
        When a key is revoked every 400 ms for 10 s
        Then each version was in force at every gateway within 2000 ms of its confirmation

    @configuration-queue
    Scenario: Changes that follow the addition of many routes are in force at every gateway within 2 s
        Given 5 control members and 12 gateways with links of 5 MB per second each, and a configuration of 40 routes
        When 1720 routes are added and a key is revoked every 400 ms for 4 s
        Then each version was in force at every gateway within 2000 ms of its confirmation

    # Guards against appends that are limited by their number of entries only: the frame for a member that had missed
    # several large versions exceeded the limit, and the error ended the leader's process, and that of each successor.
    Scenario: A member that has missed more than one frame holds catches up
        Given a control group of 3 members, one of which is cut off
        When 12 versions of 1000 KB each are published and the member is connected again
        Then every message between members fits in a frame, and the member has all 12 versions

    # Guards against an exception in a timer, which ends the process, when a message is too large for a frame.
    Scenario: A message that no frame holds closes the link and nothing else
        Given two processes with a link
        When one casts a message of 9000 KB and calls with one of 9000 KB
        Then the link is closed with a reason that names the limit, and the call fails
