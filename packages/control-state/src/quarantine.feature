@quarantine-state
Feature: What gateways refuse because it ends endpoints is part of the replicated state

    Scenario: What is quarantined stays so when a traffic configuration is published, and after a snapshot
        Given the request "bad" is quarantined after 3 crashes
        When a traffic configuration is published, and the state is restored from a snapshot
        Then these are quarantined: "bad"

    Scenario: A quarantine that is sent again changes nothing
        Given the request "bad" is quarantined after 3 crashes
        When the request "bad" is quarantined after 9 crashes
        Then the record of "bad" names 3 crashes

    Scenario: An operator releases what is quarantined, and both are in the audit trail
        Given the request "bad" is quarantined after 3 crashes
        When an operator releases "bad"
        Then these are quarantined: ""
        And the audit trail holds "quarantine, release-quarantine"

    Scenario: The oldest is released when there is more than the state may hold
        Given 300 requests are quarantined, one after the other
        Then the 256 newest of them are quarantined
