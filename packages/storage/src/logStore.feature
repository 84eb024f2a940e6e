@storage
Feature: The log store survives crashes and refuses corruption

    Scenario: Synced entries survive a crash, and a torn tail is cut off
        Given a log in memory with 5 synced entries
        When 1 entry is appended without a sync and the disk crashes after 7 bytes of it
        Then the log opens with 5 entries and cuts off 7 bytes

    Scenario: Damage before a whole block is refused with file and offset
        Given a log in memory with 5 synced entries
        When a byte in the middle of the log is inverted
        Then opening the log is refused with the message "log-0000000000000001: damaged at offset"

    Scenario: An append fails if its sync fails
        Given a log in memory with 2 synced entries
        When the next sync fails
        Then appending is refused with the message "log not written: input/output error"

    Scenario: A snapshot replaces the entries that it covers
        Given a log in memory with 8 synced entries
        When a snapshot up to entry 6 is stored and a segment is started
        Then the log opens with the snapshot 6 and entries 7 to 8
