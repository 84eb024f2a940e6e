@versioned-map
Feature: Readers of a versioned map are updated by deltas

    Scenario: A reader that applies deltas holds the writer's values
        Given a versioned map with 40 random writes and removals from seed 7
        When a reader applies an update after every third write
        Then the reader holds the writer's values

    Scenario: A reader never goes back to an older revision
        Given a versioned map with 10 random writes and removals from seed 3
        When a reader applies the newest update and then an older one
        Then the reader is at the newest revision

    Scenario: A reader below the safe point gets a snapshot
        Given a versioned map with 20 random writes and removals from seed 5
        When the safe point is raised above a reader that holds a removed key
        Then the reader's next update is a snapshot without that key
