@chunk-pacer
Feature: Streams in small chunks leave processor time to everything else

    # Guards against sound requests that wait for seconds while a few peers send single bytes.
    Scenario Outline: <streams> streams that send chunks of <size> bytes without an end share what may come
        Given <streams> streams that bring 11000 chunks of <size> bytes at a time while they are read
        When 20 s pass for them
        Then at most <most> chunks have come in all
        And each stream has brought at least <least> chunks

        Examples:
            | streams | size | most   | least |
            | 1       | 1    | 650000 | 500000 |
            | 6       | 1    | 700000 | 80000 |
            | 60      | 2    | 1400000 | 11000 |

    # Guards against sound streams that are slowed down for their own small chunks, or for those of others.
    Scenario Outline: A sound stream is read at all times beside 6 streams of single bytes
        Given 6 streams that bring 11000 chunks of 1 bytes at a time while they are read
        And a sound stream that brings <chunks> chunks of <size> bytes every 20 ms
        When 10 s pass for them
        Then the sound stream was never stopped

        Examples:
            | chunks | size |
            | 100    | 64   |
            | 1      | 1    |

    Scenario: A stream that ends while it is stopped is read to its end
        Given 6 streams that bring 11000 chunks of 1 bytes at a time while they are read
        When 1 s passes for them, and all end
        Then none is stopped

    # Guards against a body whose reading goes on after it was stopped, since its request reads whenever it has room.
    Scenario Outline: An HTTP server reads a <use> body in single bytes as far as the pace lets it
        Given an HTTP server with a caller whose <use> body of single bytes has no end
        When no time passes
        Then the server has read at most 38000 chunks
        When 5 s pass for the server
        Then the server has read between 100000 and 220000 chunks

        Examples:
            | use       |
            | consumed  |
            | discarded |
