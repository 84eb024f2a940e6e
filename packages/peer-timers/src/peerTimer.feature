@peer-timers
Feature: A peer is silent only if nothing of it waits to be read

    Scenario: A peer that sends nothing is silent after the limit
        Given a peer that may be silent for 1000 ms
        When this process runs for 999 ms
        Then it is not silent
        When this process runs for 1 ms
        Then it is silent

    Scenario: Input starts the time anew
        Given a peer that may be silent for 1000 ms
        When this process runs for 900 ms
        And input of it is read
        And this process runs for 900 ms
        Then it is not silent
        When this process runs for 100 ms
        Then it is silent

    # Guards against connections and requests that are given up after a stall of this process, whose timers run before its input.
    Scenario: Input that waits while this process stands still is read first
        Given a peer that may be silent for 1000 ms
        When this process stands still for 3000 ms, and then reads input of it
        Then it is not silent
        When this process runs for 900 ms
        Then it is not silent

    # Guards against the same for bytes that were lost while this machine was paused, and that the peer has to send again.
    Scenario: After a stall the peer gets its time again
        Given a peer that may be silent for 1000 ms
        When this process stands still for 3000 ms
        And this process runs for 900 ms
        Then it is not silent
        When this process runs for 100 ms
        Then it is silent

    Scenario: A deadline is not extended by a stall
        Given a peer that must answer within 1000 ms
        When this process stands still for 3000 ms
        Then it is silent

    Scenario: What arrives in the turn of a deadline counts
        Given a peer that must answer within 1000 ms
        When this process stands still for 3000 ms, and then reads input of it
        Then it is not silent

    Scenario: A stopped timer does not expire
        Given a peer that may be silent for 1000 ms
        When it need not send anything more
        And this process runs for 3000 ms
        Then it is not silent
