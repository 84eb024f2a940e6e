@invalid-responses
Feature: Responses that are not believed are counted and logged, in a bounded number of lines

    # Guards against a faulty endpoint that floods the log, and against one that leaves no trace there.
    Scenario: Each invalid response is counted, and a flood of them is logged in a few lines
        When 200 invalid responses with the reason "no-id" are recorded, one each 10 ms
        Then 200 are counted with the reason "no-id"
        And 10 lines are logged, of which one says that 95 were skipped
