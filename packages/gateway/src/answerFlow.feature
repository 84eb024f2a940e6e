@answer-flow
Feature: Answers wait at their endpoints while callers have not read those before them

    # Guards against an answer that is cut for a caller that reads it, because others were accepted that don't fit.
    Scenario Outline: Answers of requests that were accepted together all arrive, however slowly callers read
        Given a gateway with 30 requests of callers that read nothing
        When their endpoints send answers of <megabytes> MB each, as far as the gateway reads them
        Then at most 96 MB are held, and no answer was cut
        When the callers read one after the other
        Then each caller has its whole answer, and no memory is held

        Examples:
            | megabytes |
            | 4         |
            | 8         |
            | 15        |

    # Guards against answers that wait for each other for good, since each is held in part.
    Scenario: The oldest answer is read on while all others wait
        Given a gateway with 30 requests of callers that read nothing
        When their endpoints send answers of 8 MB each in turns of 1 MB, as far as the gateway reads them
        And the callers read one after the other
        Then each caller has its whole answer, and no memory is held

    # Guards against a request that is sent to another endpoint since the one that answers it seems silent.
    Scenario: An answer that waits for its caller is not moved
        Given a gateway with 30 requests of callers that read nothing
        When their endpoints send answers of 8 MB each, as far as the gateway reads them
        And the callers read nothing for 3000 ms
        Then each request was sent once

    # Guards against answers that wait for ever for callers that left.
    Scenario: Callers that leave make room for the others
        Given a gateway with 30 requests of callers that read nothing
        When their endpoints send answers of 8 MB each, as far as the gateway reads them
        And half of the callers leave, and the others read
        Then each caller that is left has its whole answer, and no memory is held
