@link-faults
Feature: One message that can't be encoded, decoded or handled is dropped, and the link carries the others

    # Guards against one odd fact that closes links again and again, so that what follows it is never received.
    Scenario Outline: A message that can't be carried or handled is dropped
        Given two processes with a link between them
        When one sends the other the messages "first", one <fault> and "last"
        Then the other has handled "first, last", and the link is open
        And the fault is reported as <kind>

        Examples:
            | fault                                | kind           |
            | "nested too deep"                    | "sent-message" |
            | "larger than a frame"                | "sent-message" |
            | "with a function"                    | "sent-message" |
            | "that its receiver can't handle"     | "cast"         |
            | "in a frame that is no CBOR"         | "frame"        |
            | "in a frame that is nested too deep" | "frame"        |
            | "in a frame that is a number"        | "frame"        |
            | "in a frame of an unknown type"      | "frame"        |

    # Guards against lists of facts that grow beyond a frame, so that gateways close each new link again and again.
    Scenario: Facts that no frame holds together reach all gateways in several messages
        Given a control member that gateways watch, with 300 facts of 60 KB each
        Then 2 gateways receive the 300 facts, and so does one that links later

    # Guards against a field of a later build, or of another writer, that can be received and not sent on.
    Scenario: A fact with an unknown field that is nested too deep is sent on without it
        Given a control member that gateways watch, with a fact that holds an unknown field
        Then 2 gateways receive the 1 facts, and so does one that links later
