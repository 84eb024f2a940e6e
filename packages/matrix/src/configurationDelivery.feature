@configuration-delivery
Feature: Configuration changes reach every member and gateway in time, however large the configuration is

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

    # Guards against requests that run by a configuration that the gateway knows to be superseded.
    Scenario: A gateway that cannot read a newer version stops serving by the older one before 2 s have passed
        Given 1 control members and 1 gateways with links of 5 MB per second each, and a configuration of 40 routes
        And the first member does not answer reads
        When a key is revoked
        Then the gateway is behind after 1600 ms, but not after 1400 ms
        When the first member answers reads again
        Then the gateway has version 2 and is not behind

    Scenario: Versions that two members publish at the same time are both confirmed, and the newer one is in force
        Given a control group of 3 members with version 1
        When one member publishes version 2 and another version 3 at the same time
        Then both are confirmed, and every member has version 3 with its document

    Scenario: A member that has not applied the version in force publishes the whole configuration
        Given a control group of 3 members with version 1
        And a member that receives no more entries, but reaches the leader
        And version 2 is published at the leader
        When the member publishes version 3
        Then it is confirmed, and the leader has version 3 with its document

    Scenario: A configuration that no message can carry is refused before it is proposed
        Given a control group of 3 members with version 1
        When a version with a document of 9000 KB is published
        Then it is refused with the limit, and every member has version 1 with its document

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
