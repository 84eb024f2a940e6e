@stall-watch
Feature: The age of input is bounded by the time for which this process has stood still

    Scenario: Input of a process that runs has hardly waited
        Given a process that watches its stalls
        When it runs for 5000 ms
        Then what it reads has waited for 50 ms at most

    # Guards against old input that is taken for new since a timer has run between the stall and the poll that reads it.
    Scenario Outline: What is read <when> a stall may be as old as the stall
        Given a process that watches its stalls
        When it runs for 1000 ms
        And it stands still for 7000 ms<timers>
        Then what it reads may have waited for 7000 ms

        Examples:
            | when            | timers                                    |
            | right after     |                                           |
            | in the turn of  | , and its timers run before its input     |

    # Guards against old input on a connection that is accepted some turns after the stall.
    Scenario: For a second after a long stall, input may have waited since before it
        Given a process that watches its stalls
        When it stands still for 7000 ms
        And it runs for 900 ms
        Then what it reads may have waited for 7900 ms
        When it runs for 200 ms
        Then what it reads has waited for 50 ms at most

    Scenario: Input is new again soon after a short stall
        Given a process that watches its stalls
        When it stands still for 400 ms
        And it runs for 150 ms
        Then what it reads may have waited for 500 ms
        When it runs for 200 ms
        Then what it reads has waited for 50 ms at most

    # Guards against leases and ages that a suspension of the VM stops, while the callers' time goes on.
    Scenario: The time in which the VM was suspended counts
        Given a process that watches its stalls
        When its VM is suspended for 3000 ms
        Then what it reads may have waited for 3000 ms
