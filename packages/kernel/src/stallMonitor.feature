@stall-monitor
Feature: A process reports the times at which it stood still

    # Without this, a timeout that expires because the process itself ran nothing looks like the silence of a peer.
    Scenario: A stall of two seconds is logged and counted once
        Given a process that monitors its stalls
        When it runs for 3000 ms, stands still for 2000 ms and runs for 1000 ms
        Then 1 stall of about 2000 ms is logged and counted

    Scenario: Short delays are no stalls
        Given a process that monitors its stalls
        When it runs for 3000 ms, stands still for 300 ms and runs for 1000 ms
        Then no stall is logged or counted
