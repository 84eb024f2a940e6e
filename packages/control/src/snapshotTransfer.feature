@snapshot-transfer
Feature: A snapshot larger than a frame is transferred to another member

    Scenario: Parts that arrive in order are joined
        Given a snapshot of 9000000 bytes
        When its parts arrive in order
        Then the whole snapshot is received, and every part fits in a frame

    Scenario: A lost part discards the snapshot until it is sent again
        Given a snapshot of 3000000 bytes
        When its second part is lost and the snapshot is sent again
        Then the whole snapshot is received, and every part fits in a frame

    Scenario: A snapshot that is replaced while it is sent
        Given a snapshot of 3000000 bytes
        When its first part arrives, and then a newer snapshot of 2500000 bytes
        Then the whole snapshot is received, and every part fits in a frame
        And it is the newer one
