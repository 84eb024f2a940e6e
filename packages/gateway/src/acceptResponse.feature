@gateway
Feature: A response is believed only if it is the response to its request

    # Guards against additional bytes of an endpoint that are taken for a rejection: the request runs twice, or its caller is
    # promised that it has not run.
    Scenario Outline: <case>
        When a request with the id <sent> gets status <status> with the id <id> and <fields>
        Then the response is <verdict>

        Examples:
            | case                                           | sent | status | id   | fields          | verdict                      |
            | a success with the request's id                | r-1  | 200    | r-1  | stamp           | an answer                    |
            | a failure with the request's id                | r-1  | 500    | r-1  | nothing         | an answer                    |
            | a rejection with the request's id              | r-1  | 503    | r-1  | not-run         | a rejection                  |
            | a misdirection with the request's id           | r-1  | 421    | r-1  | nothing         | a rejection                  |
            | a rejection without an id                      | r-1  | 503    | none | not-run         | invalid: no-id               |
            | a misdirection without an id                   | r-1  | 421    | none | nothing         | invalid: no-id               |
            | a failure without an id                        | r-1  | 503    | none | stamp           | invalid: no-id               |
            | a rejection of another request                 | r-1  | 503    | r-2  | not-run         | invalid: other-request       |
            | a success of another request                   | r-1  | 200    | r-2  | stamp           | invalid: other-request       |
            | a success without a stamp                      | r-1  | 200    | r-1  | nothing         | invalid: unsigned            |
            | an encoded success                             | r-1  | 200    | r-1  | stamp, encoding | invalid: encoded             |
            | a rejection of a request without an id         | none | 503    | none | not-run         | an answer that may have run  |
            | a success with a status that is none of HTTP   | r-1  | 000    | r-1  | stamp           | invalid: no-status           |
            | a status below those of final responses        | r-1  | 099    | r-1  | stamp           | invalid: no-status           |
            | a status above those of HTTP                   | r-1  | 600    | r-1  | stamp           | invalid: no-status           |
            | a rejection with a status that is none of HTTP | r-1  | 000    | r-1  | not-run         | invalid: no-status           |
            | a response with an id to a request without one | none | 503    | r-2  | not-run         | invalid: other-request       |
