@stream-continuation
Feature: A stream that broke off goes on with its next event or ends as incomplete

    Scenario: The next endpoint continues the stream
        Given a gateway with 2 endpoints, 1 retry and resumable streams
        And 1 callers that have received events 1 to 3
        When its endpoint breaks off
        And they complete their streams with event 6
        Then each caller has received events 1 to 6 and the end of its stream

    # Guards against an error's text or head, or events of another run, in the middle of a stream, and against a stream that
    # ends as if it were complete.
    Scenario Outline: What does not continue the stream does not reach its caller
        Given a gateway with 2 endpoints, 1 retry and resumable streams
        And 1 callers that have received events 1 to 3
        When its endpoint breaks off
        And the next one answers with <answer>
        Then each caller has received events 1 to 3, and its connection was closed

        Examples:
            | answer                                    |
            | status 500 and a text                     |
            | status 404 and a text                     |
            | status 204                                |
            | status 206 and the events 4 to 6          |
            | status 304                                |
            | status 200 and a text                     |
            | status 200 and a text with an empty line  |
            | status 200 and no body                    |
            | a stream of another type                  |
            | a stream that begins with event 1         |
            | a stream that repeats event 3             |
            | a stream whose events have no ids         |
            | a stream with an error event              |
            | a stream with the head of an error        |
            | a stream without a length and an event    |

    # Guards against events that arrive twice since a stream without ids begins anew at the next endpoint.
    Scenario: A stream whose events have no ids is not sent again
        Given a gateway with 2 endpoints, 1 retry and resumable streams
        And a caller that has received an event without an id
        When its endpoint breaks off
        Then no endpoint has a request, and the caller's connection was closed

    Scenario: Comments need no ids
        Given a gateway with 2 endpoints, 1 retry and resumable streams
        And 1 callers that have received events 1 to 3
        And a comment
        When its endpoint breaks off
        And the next one sends a comment
        And they complete their streams with event 6
        Then each caller has received the end of its stream
