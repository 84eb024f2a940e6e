@member-log
Feature: A member's log, snapshots and proposals agree when leaders change

    # Guards against members that wait for ever, and tasks that wait for them: the leader's snapshot covered the entry
    # of a proposal, which was neither applied nor replaced.
    Scenario: A proposal whose entry a snapshot has replaced ends with an error
        Given a control group of 3 members that take a snapshot every 10 entries
        When the leader is cut off with a proposal under way, the others commit 40 entries and it is connected again
        Then the proposal has ended with the error "a snapshot has replaced the entry of this proposal"

    # Guards against two disjoint majorities: a snapshot held members that were appended and never committed, and kept
    # them after the entry had been replaced.
    Scenario: A snapshot holds the members as of its last entry
        Given a control group of 3 members that take a snapshot every 10 entries
        When the leader takes a snapshot while a change of members is not committed, and another leader replaces it
        Then every member knows the 3 members after a restart

    # Guards against answers from an older state: the monotonic clock of a suspended VM stands still, so that its lease
    # seemed to hold after the others had elected another leader.
    Scenario: A leader that was suspended answers no read before a majority has answered it again
        Given a control group of 3 members that take a snapshot every 10 entries
        When the leader is suspended for 5 s, and answers to what it had sent before arrive
        Then it may not serve
        When the members answer what it has sent since
        Then it may serve
