@whole-path
Feature: The system serves requests end to end, and still does after invalid input, a version conflict and a drain

    Background:
        Given a complete system on loopback with the example services

    Scenario: A streamed answer is complete and reports that outcome
        When a streamed chat request of 12 tokens is sent
        Then the answer is complete and its outcome is "complete"

    Scenario: An order sent twice through different entries runs once
        When the order "o-1" is sent through each entry
        Then every answer is the same, and the order "o-1" ran 1 time

    Scenario: An idempotency key that is reused for another order is refused
        When the order "o-2" is sent through each entry
        And another order is sent with the key of "o-2"
        Then it is refused with status 422, code "idempotency-key-reused" and outcome "not-run"

    Scenario Outline: Invalid input is refused with its own code, and later requests are served: <case>
        When a caller sends <case>
        Then it is refused with status <status>, code "<code>" and outcome "not-run"
        When a streamed chat request of 3 tokens is sent
        Then the answer is complete and its outcome is "complete"

        Examples:
            | case                             | status | code                    |
            | no credential                    | 401    | unauthorized            |
            | a wrong credential               | 401    | unauthorized            |
            | an unknown service               | 404    | unknown-service         |
            | an unknown model                 | 404    | unknown-model           |
            | malformed JSON                   | 400    | bad-request             |
            | a body above the size limit      | 413    | body-too-large          |
            | an order without a key           | 400    | idempotency-key-missing |
            | a path with a parent segment     | 400    | bad-request             |
            | a deadline that is not a number  | 400    | bad-request             |

    Scenario: Corrupt and oversized frames on the internal port close only their own connection
        When a peer sends corrupt bytes and an oversized frame to an entry's internal port
        And a streamed chat request of 3 tokens is sent
        Then the answer is complete and its outcome is "complete"

    Scenario: Two operators publish the same version concurrently
        When two operators publish version 2 of "cantora/orders" with different content
        Then one is accepted, and the other is refused with the accepted version
        And the audit trail shows both

    Scenario: The group of a drained VM is replaced by a group without that VM
        When the VM of a serving group is drained
        Then within 15 seconds the declared groups serve without that VM
