@small-chunks
Feature: What peers send in chunks of one byte costs about what its bytes do

    # Guards against a gateway whose memory a peer fills with small chunks long before the limit of their bytes: the process
    # ends, with every request in flight.
    Scenario Outline: <what> in 500000 pieces of a few bytes
        When 500000 pieces of <what> are held
        Then they hold less than 8000000 bytes of memory

        Examples:
            | what                           |
            | a response                     |
            | a request body                 |
            | an incomplete event            |
            | events that a caller must read |

    # Guards against a sound caller whose answer is refused, or a gateway out of memory, because others don't read theirs.
    Scenario: Above the limit of unread answers, the one that has not been read for longest is given up
        Given answers of 100, 200 and 300 bytes that callers have not read, of which 650 bytes may be held
        When an answer of 250 bytes is sent to another caller
        Then the connections of the callers 1 and 2 are closed, and 550 bytes are held
        When caller 3 has read its answer
        Then 250 bytes are held

    # Guards against answers that slow callers are reading being cut for those of others.
    Scenario: Slow callers get their answers, and further requests are refused meanwhile
        Given answers of 300 and 200 bytes that callers have not read, and no further request from 400 bytes on
        Then after 14 s no further request is accepted, and 2 answers are still delivered
        And after 16 s further requests are accepted, and 1 answer is still delivered
