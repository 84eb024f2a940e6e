@configuration-publish
Feature: Control members publish and replicate configurations of any size that a message can carry

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

    # Guards against an acknowledgement without an effect: every answer of the leader but one counted as success.
    Scenario: A version that the leader refuses is not confirmed
        Given a control group of 3 members with version 1
        When the member publishes version 2 and the leader refuses the change as "invalid-change"
        Then it is not confirmed, and the error says "the change is unreadable"

    Scenario: A configuration that no message can carry is refused before it is proposed
        Given a control group of 3 members with version 1
        When a version with a document of 9000 KB is published
        Then it is refused with the limit, and every member has version 1 with its document

    Scenario: A member that is cut off and comes back amid changes has the same configuration as the others
        Given a control group of 3 members with version 1
        When versions 2 to 60 are published while one member after the other is cut off and connected again
        Then every member has version 60 with its document, and all have the same entries

    # Guards against appends that are limited by their number of entries only: the frame for a member that had missed
    # several large versions exceeded the limit, and the error ended the leader's process, and that of each successor.
    Scenario: A member that has missed more than one frame holds catches up
        Given a control group of 3 members, one of which is cut off
        When 12 versions of 1000 KB each are published and the member is connected again
        Then every message between members fits in a frame, and the member has all 12 versions

    # Guards against an exception in a timer, which ends the process, when a message is too large for a frame.
    Scenario: A message that no frame holds is dropped, and the link carries the next one
        Given two processes with a link
        When one casts a message of 9000 KB and calls with one of 9000 KB
        Then each fails with an error that names the limit, and the link carries the next call
