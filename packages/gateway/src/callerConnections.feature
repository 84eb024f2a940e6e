@caller-connections
Feature: A caller's connection is closed only when none of its requests loses its answer by that

    # Guards against requests that are lost since the timer of the idle limit fires before their bytes are read.
    Scenario: A request that arrives as its connection reaches the idle limit is answered
        Given a gateway with a connection of a caller
        And an answer to a first request
        When the idle limit is reported, and a request arrives before the next turn
        Then the request reaches the endpoint

    # Guards against connections that stay open for good.
    Scenario: A connection without a request is closed at the idle limit
        Given a gateway with a connection of a caller
        And an answer to a first request
        When the idle limit is reported
        Then its connection is closed

    # Guards against a response that is cut off, or answered with 400, for what follows its request on the connection.
    Scenario Outline: Bytes that are no request don't end the request before them
        Given a gateway with a connection of a caller
        And a request that is under way
        When the caller sends <bytes>
        And the endpoint answers with status 200
        Then the caller has one answer with status 200
        And its connection is closed

        Examples:
            | bytes           |
            | garbage         |
            | another version |

    # Guards against requests that wait for bytes that can't arrive any more.
    Scenario: A request whose body can't be read is refused at once
        Given a gateway with a connection of a caller
        And the head of a request whose body comes in chunks
        When the caller sends garbage
        Then the caller has one answer with status 400
        And its connection is closed

    # Guards against connections that close within the time for which the configuration in force lets callers keep them.
    Scenario: A raised idle limit holds for connections that are idle already
        Given a gateway with a connection of a caller
        And an answer to a first request
        When the idle limit is raised to 20000 ms
        Then the connection may be idle for at least 20000 ms

    # Guards against connections that close earlier than callers who don't know of the change yet expect.
    Scenario: A lowered idle limit holds only from the next request on
        Given a gateway with a connection of a caller
        And an answer to a first request
        When the idle limit is lowered to 2000 ms
        Then the connection may be idle for at least 5000 ms
