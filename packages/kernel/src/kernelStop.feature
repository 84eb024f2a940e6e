@kernel-stop
Feature: A stop completes the work of every role

    # Guards against a process that ends with requests in flight because another of its roles has failed to stop.
    Scenario: A role that fails to stop does not cut off the others
        Given a process with a role that fails to drain and one that drains for 500 ms
        When it stops
        Then the second role has drained and is closed
        And the failure is logged

    # Guards against the same for a role that fails to close.
    Scenario: A role that fails to close does not leave the others open
        Given a process with a role that fails to close and one that drains for 500 ms
        When it stops
        Then the second role has drained and is closed
        And the failure is logged
