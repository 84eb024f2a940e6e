@whole-path
Feature: The whole path serves, refuses truthfully and goes on serving

    Background:
        Given a whole system on loopback with the example services

    Scenario: A streamed answer comes back whole and says so
        When a streamed chat request of 12 tokens is sent
        Then the answer is whole and its outcome is "complete"

    Scenario: An order sent twice through different entries runs once
        When the order "o-1" is sent through each entry
        Then every answer is the same, and the order "o-1" ran 1 time

    Scenario: An idempotency key that was used for another order is refused
        When the order "o-2" is sent through each entry
        And another order is sent with the key of "o-2"
        Then it is refused with status 422, code "idempotency-key-reused" and outcome "not-run"

    Scenario Outline: Bad input is refused clearly: <case>
        When a caller sends <case>
        Then it is refused with status <status>, code "<code>" and outcome "not-run"
        When a streamed chat request of 3 tokens is sent
        Then the answer is whole and its outcome is "complete"

        Examples:
            | case                             | status | code                    |
            | no credential                    | 401    | unauthorized            |
            | a wrong credential               | 401    | unauthorized            |
            | an unknown service               | 404    | unknown-service         |
            | an unknown model                 | 404    | unknown-model           |
            | malformed JSON                   | 400    | bad-request             |
            | a body over the bound            | 413    | body-too-large          |
            | an order without a key           | 400    | idempotency-key-missing |
            | a path that climbs up            | 400    | bad-request             |
            | a deadline that is not a number  | 400    | bad-request             |

    Scenario: Corrupt and oversized inner frames end only their own connection
        When a peer sends corrupt bytes and an oversized frame to an entry's inner port
        And a streamed chat request of 3 tokens is sent
        Then the answer is whole and its outcome is "complete"

    Scenario: Two operators race under one version number
        When two operators publish version 2 of "cantora/orders" with different content
        Then one is accepted, and the other is refused and shown the winner
        And the audit trail shows both

    Scenario: A VM that is drained leaves its group, and another group takes its place
        When the VM of a serving group is drained
        Then within 15 seconds the declared groups serve without that VM
