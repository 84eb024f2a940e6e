@sidecar
Feature: A sidecar reports what it has read of its engine

    # Guards against a sidecar that starts again and reports, before it has read anything, that no engine is there.
    Scenario: A sidecar that has just started reports nothing before its first read
        Given a control member, and a sidecar whose engine does not respond yet
        When the sidecar has linked to the control member
        And the engine responds
        Then the first report says that the engine is reachable

    Scenario: A sidecar that has just started reports an engine that refuses connections
        Given a control member, and a sidecar whose engine does not respond yet
        When the sidecar has linked to the control member
        And the engine refuses connections
        Then the first report says that the engine is lost

    # Guards against an engine that becomes cold between two heartbeats and receives its usual requests until the next one.
    Scenario: A sidecar reports for how long its engine stays cold
        Given a control member, and a sidecar whose engine does not respond yet
        When the sidecar has linked to the control member
        And the engine responds that it stays cold for 2500 ms
        Then the first report says that it stays cold for 2500 ms

    # Guards against a cold time that begins anew at control with each report while the engine's reports can't be read.
    Scenario Outline: A cold time runs down while the engine's report can't be read
        Given a control member, and a sidecar whose engine does not respond yet
        When the sidecar has linked to the control member
        And the engine responds that it stays cold for 2500 ms
        And the engine's report can't be read any more, and <ms> ms go by
        Then the next report says that it stays cold for <left> ms

        Examples:
            | ms   | left |
            | 1000 | 1500 |
            | 2600 | 0    |
