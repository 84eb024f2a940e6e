@link-silence
Feature: A link is closed only if its peer is silent

    # Guards against links that are closed after a stall of this process, whose timers run before its sockets are read.
    Scenario: A heartbeat that waits while this process stands still keeps the link open
        Given a link to a peer
        When this process stands still for 5000 ms, and then reads a heartbeat
        Then the link is open

    Scenario: A link to a peer that sends nothing is closed
        Given a link to a peer
        When this process runs on for 2500 ms, and reads nothing
        Then the link is closed for "heartbeat timeout"

    # Guards against calls that fail although their answer has arrived.
    Scenario: An answer that waits while this process stands still ends its call
        Given a link to a peer
        And a call that the peer must answer within 1000 ms
        When this process stands still for 1500 ms, and then reads the answer
        Then the call is answered

    Scenario: A call without an answer fails
        Given a link to a peer
        And a call that the peer must answer within 1000 ms
        When this process runs on for 1100 ms, and reads nothing
        Then the call has failed
