@member-log
Feature: A member's log, snapshots and proposals agree when leaders change

    # Guards against two disjoint majorities: a snapshot held members that were appended and never committed, and kept
    # them after the entry had been replaced.
    Scenario: A snapshot holds the members as of its last entry
        Given a control group of 3 members that take a snapshot every 10 entries
        When the leader takes a snapshot while a change of members is not committed, and another leader replaces it
        Then every member knows the 3 members after a restart
