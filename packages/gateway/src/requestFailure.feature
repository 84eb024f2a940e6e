@request-failure
Feature: An error on the way of one request ends that request only

    # Guards against a process that ends, with all requests in flight, for an error on the way of one of them.
    Scenario Outline: A request that meets an error gets a final answer that is true
        Given a gateway with 1 endpoint, 1 retry and repeatable requests
        And an error when a request <moment>
        When 2 callers send a request that the endpoint answers
        Then each caller has an answer with status <status>
        And each error is logged

        Examples:
            | moment           | status |
            | is sent          | 503    |
            | is being read    | 503    |
            | gets its answer  | 502    |
