@operator-order
Feature: What is known of an order's caller decides until when the order may be sent, and which orders it follows

    Background:
        Given a control process with the configuration revision 10

    Scenario: A caller that has just connected waits for 900 ms
        When a caller connects and sends an order
        Then the order follows revision 10
        And after 890 ms it may be sent, and its caller surely waits
        And after 10 ms more it is refused with "callers move on after a second"

    # Guards against orders that a frozen process reads when it wakes, after their caller has had an opposite one confirmed.
    Scenario Outline: An order that may have waited in a process that stood still is refused if its caller may have moved on
        When the process stands still for <ms> ms
        And a caller connects and sends an order
        Then it <outcome>

        Examples:
            | ms   | outcome                                                                |
            | 300  | may be sent                                                            |
            | 850  | may be sent                                                            |
            | 950  | is refused with "it may have waited here for 950 ms"                   |
            | 1050 | is refused with "it may have waited here for 1050 ms"                  |
            | 7000 | is refused with "it may have waited here for 7000 ms"                  |

    Scenario: A caller that closes its connection has moved on
        When a caller connects and sends an order
        And it closes the connection
        Then it is refused with "its caller has closed the connection"

    # Guards against orders that the network holds up on a connection, so that they seem to follow what came after them.
    Scenario: An order on a connection that has been idle may have been sent at any time since
        When a caller connects
        And 3000 ms later, at revision 12, it sends an order
        Then the order follows revision 10
        And it may be sent, but its caller may have moved on
        When it has a response
        And 100 ms later, at revision 12, it sends an order
        Then the order follows revision 12
        And after 790 ms it may be sent, and its caller surely waits

    Scenario: A connection that was accepted after a stall may have carried the order before it
        When the process stands still for 7000 ms
        And a caller connects
        And the process has settled
        And 1000 ms later, at revision 12, it sends an order
        Then the order follows revision 0
