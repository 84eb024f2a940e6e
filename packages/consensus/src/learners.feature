@learners
Feature: A leader replicates its log to learners, which count for nothing until they are members

    Background:
        Given a leader "a" of the members "a,b,c" with a committed entry

    # Guards against entries that are acknowledged on the word of a process that is no member, and against leases from it.
    Scenario: What a learner holds and answers does not count
        Given the learner "d"
        When the leader appends an entry that "d" confirms
        Then the entry is not committed, and "d" has no copy yet that counts towards a majority
        When 1000 ms pass in which only "d" answers
        Then the leader has stepped down, and has no learners

    # Guards against learners that are taken for copies because of what they held before their disk was lost.
    Scenario: Only new answers show what a learner holds
        Given the learner "d"
        When the leader appends an entry that "b" and "d" confirm
        Then "d" holds a copy
        When the learners are "e" and then "d" again
        Then "d" holds no copy
        When "d" confirms all entries
        Then "d" holds a copy

    # Guards against a catch-up that starts anew once the learner becomes a member.
    Scenario: A learner that is added keeps its copy
        Given the learner "d"
        When the leader appends an entry that "b" and "d" confirm
        And the leader adds "d" to the members
        And "b", "c" and "d" confirm all entries
        And there are no learners
        Then "d" holds a copy

    # Guards against calls that are sent without end to a leader that is none any more.
    Scenario: A process that is no member forgets the leader that sends to it no longer
        Given a process "d" that is no member and has got an entry of the leader "a"
        Then "d" knows the leader "a" after 500 ms, and none after 1500 ms
