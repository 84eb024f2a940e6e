@traffic-state
Feature: Traffic configurations are stored as entries, and changed at the cost of the difference

    Scenario: A changed document is built from the older one, whatever the two texts are
        Then for 300 pairs of documents the change applied to the older one gives the newer one

    # Guards against changes whose size grows with the configuration.
    Scenario: The change of one key among 2000 routes is small
        Given version 1 with 2000 routes and 50 accounts is in force
        When the difference to version 2, which revokes one key, is computed
        Then it has 2 entries and takes less than 2 KB

    Scenario: A difference and the whole configuration lead to the same state
        Given version 1 with 40 routes and 5 accounts is in force
        Then for 100 random successors the difference and the whole lead to equal entries and documents

    Scenario: A difference to another version than the one in force is refused as stale
        Given version 1 with 40 routes and 5 accounts is in force
        When the difference to version 2, which revokes one key, is computed
        And version 3 is published whole
        And the difference of version 1 to version 2 is applied
        Then it is accepted without an effect, since version 3 is newer
        When the difference of version 1 to version 4 is applied
        Then it is refused as stale

    Scenario: Accounts that share a name keep their own keys
        Given two accounts named "same" with the keys "a" and "b"
        Then the state has an entry for each of them

    # Snapshots written before routes had entries of their own hold the configuration and its document in one entry.
    Scenario: A snapshot with the configuration in one entry is read
        Given a stored snapshot with version 7 and 3 routes in one entry
        Then the state read from it has version 7, 3 routes and the document
