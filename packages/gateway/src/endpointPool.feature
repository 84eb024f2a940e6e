@endpoint-pool
Feature: An incomplete response is never reported as complete

    Scenario Outline: <case>
        Given an endpoint that responds with <response> and then ends the connection by a <end>
        When a request is sent to it
        Then the attempt ends as <outcome>

        Examples:
            | case                                       | response                      | end   | outcome  |
            | content length, complete body              | "length 4, abcd"              | close | complete |
            | content length, truncated body             | "length 9, abcd"              | close | failed   |
            | no length, regular end                     | "no length, abcd"             | close | complete |
            | no length, reset after a pause             | "no length, abcd"             | reset | failed   |
            | no length, reset together with the body    | "no length, abcd"             | break | failed   |
            | chunked, with the last chunk               | "chunks, abcd, last"          | close | complete |
            | chunked, without the last chunk            | "chunks, abcd"                | close | failed   |
            | chunked, connection: close, truncated      | "chunks, closing, abcd"       | close | failed   |
            | chunked, connection: close, reset          | "chunks, closing, abcd"       | reset | failed   |
            | bytes that are not HTTP                    | "garbage"                     | close | failed   |
            | no bytes                                   | "nothing"                     | close | failed   |

    # Guards against additional bytes of a faulty endpoint that nobody can find in the logs and metrics.
    Scenario Outline: Bytes on a connection on which no request waits are recorded
        Given an endpoint that responds and then sends <bytes> on the idle connection
        When a request is sent to it
        Then the attempt ends as complete
        And extra bytes are recorded once

        Examples:
            | bytes      |
            | a response |
            | garbage    |

    # Guards against an endpoint that stops in the middle of a response's head, whose caller gets an empty or short body that
    # is framed as whole.
    Scenario Outline: A response that ends at any byte before its end, <what>, by a <end>, is not complete
        Then no response <what> that an endpoint ends by a <end> before its last byte completes its attempt
        And the whole response <what> is taken as <whole>

        Examples:
            | what                                    | end   | whole    |
            | with a length                           | close | complete |
            | with a length                           | reset | complete |
            | with a length                           | break | complete |
            | in chunks                               | close | complete |
            | in chunks                               | reset | complete |
            | that announces a close                  | close | complete |
            | of HTTP/1.0                             | close | complete |
            | after early hints                       | close | complete |
            | after early hints that announce a close | close | failed   |

    # Guards against a gateway out of memory: each pause of a response in small chunks put the rest of 64 KB back and copied
    # it, tens of MB a second with a chunk extension, far above what is held of the response.
    Scenario Outline: What is read of a response in small chunks is not read a second time
        Given an endpoint whose response brings <chunks> without an end
        When it is read at the pace of small chunks until 40000 chunks have come
        Then no more bytes were read than have arrived

        Examples:
            | chunks                                 |
            | chunks of a byte                       |
            | chunks of a byte with a chunk extension |

    # Guards against a gateway that reads bytes that are no response until the request's deadline, at the whole speed of
    # its link: neither the limit of heads nor that of contents counts them.
    Scenario Outline: <bytes> without an end ends the attempt
        Given an endpoint whose response brings <bytes> without an end
        When a request is sent to it
        Then the attempt ends as failed
        And the endpoint has sent less than 32 MB

        Examples:
            | bytes               |
            | a reason phrase     |
            | a chunk extension   |
            | a chunk size        |
            | interim responses   |
            | a trailer           |
