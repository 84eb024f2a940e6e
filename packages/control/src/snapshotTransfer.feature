@snapshot-transfer
Feature: A snapshot that is larger than a frame reaches another member

    Scenario: Parts come together
        Given a snapshot of 9000000 bytes
        When its parts arrive in order
        Then the whole snapshot is there, and no part was larger than a frame

    Scenario: A lost part starts over
        Given a snapshot of 3000000 bytes
        When its second part is lost and the snapshot is sent again
        Then the whole snapshot is there, and no part was larger than a frame
