@input-fault-log
Feature: Input that was refused is logged with its writer, and a flood of it is counted

    # Guards against a flood of odd input that fills the log, and against one odd writer that is not seen in it.
    Scenario: The first fault of each writer is logged, and then their number at an interval
        Given a log of refused input with an interval of 10000 ms for 3 writers
        When 500 faults of "a" and 1 fault of "b" are recorded within 1000 ms
        Then the lines are "a 1, b 1"
        When 1 fault of "a" is recorded after 10000 ms
        Then the lines are "a 1, b 1, a 500"

    Scenario: Writers beyond the maximum share one line, and the number of lines stays bounded
        Given a log of refused input with an interval of 10000 ms for 3 writers
        When 1000 writers cause a fault each within 1000 ms
        Then 4 lines are logged, the last of "others"
        And 1000 faults are counted
