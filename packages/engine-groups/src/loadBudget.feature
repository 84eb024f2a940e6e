@engine-groups
Feature: Loads from the weight store stay within its rate and concurrency limits

    Scenario: No window contains more starts than the rate and the burst allow
        Given a weight store with 3 loads a second and 100 at a time
        When a load is requested every 10 ms for 20000 ms
        Then no window of 5000 ms contains more than 18 starts

    Scenario: No more loads run at once than the weight store allows
        Given a weight store with 3 loads a second and 6 at a time
        When a load of 16000 ms is requested every 10 ms for 10000 ms
        Then 6 loads have started
