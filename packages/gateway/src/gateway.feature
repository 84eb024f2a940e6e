@gateway
Feature: Where a gateway sends requests, and which it refuses

    Scenario: The longest prefix of the host's routes wins
        Given routes "/a/" to "x" and "/a/b/" to "y" of host "h.example"
        Then a request for "/a/b/c?q=1" of host "H.example:80" goes to "y"
        And a request for "/a/bc" of host "h.example" goes to "x"
        And a request for "/b/" of host "h.example" goes to ""

    Scenario: Targets are chosen by weight
        Given a route with weights 90 for "x" and 10 for "y"
        Then draws 0, 0.899, 0.901 and 0.999 choose "x", "x", "y" and "y"

    Scenario Outline: Events are passed on whole, however their bytes arrive
        Given the stream "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: par" in pieces of <bytes> bytes
        Then the events are 1 and 2, and "id: 3\ndata: par" is left over

        Examples:
            | bytes |
            | 1     |
            | 3     |
            | 100   |

    Scenario: Steady load: a request goes to the group that answers first
        Given groups with 20, 5 and 12 requests of 34 slots
        When a request comes with 400 ms to its objective
        Then it goes to group 2

    Scenario: A burst fills all groups: what would only be late is refused at once, with a time to return
        Given groups with 40, 45 and 50 requests of 34 slots
        When a request comes with 400 ms to its objective
        Then it is refused and asked to return within 150 to 2500 ms

    Scenario: A caller that returns late is served where that delays nobody
        Given groups with 10, 30 and 34 requests of 34 slots
        When a request comes with -500 ms to its objective
        Then it goes to group 1

    Scenario: A caller that returns late into a busy fleet is refused, since others can still be in time
        Given groups with 28, 30 and 34 requests of 34 slots
        When a request comes with -500 ms to its objective
        Then it is refused and asked to return within 150 to 2500 ms

    Scenario: No group of the model serves
        Given no groups
        When a request comes with 400 ms to its objective
        Then there is no group to send it to

    Scenario: The age of a request shows in the deadline that it asks for
        Given requests of a route that ask for 8000, 8000 and 6500 ms
        Then the last of them is 1500 ms old

    Scenario: A group that fails requests while it looks idle gets what others cannot take in time
        Given groups with 20, 0 and 12 requests of 34 slots
        And group 2 fails most requests
        When a request comes with 400 ms to its objective
        Then it goes to group 3

    Scenario Outline: A stop: what might not be finished is refused while its caller has time to go elsewhere
        Then a gateway that stops within 8000 ms takes a request of up to <needs> ms that comes <since> ms after the signal: <taken>

        Examples:
            | needs | since | taken |
            | 8000  | 100   | yes   |
            | 8000  | 2400  | yes   |
            | 8000  | 4400  | no    |
            | 1000  | 4400  | yes   |
            | 1000  | 6000  | no    |

    Scenario Outline: A request under which endpoints ended: two may be chance, three are its doing
        Given a gateway that hears of <count> endpoints that ended under a request
        Then the request is fenced off when it comes again: <fenced>
        And a request with another body is not fenced off

        Examples:
            | count | fenced |
            | 0     | no     |
            | 2     | no     |
            | 3     | yes    |

    Scenario: Gateways that start together keep to the shared budget of repeats before they know of each other
        Given 8 gateways that share a ratio of 0.2 and a slack of 200 and know only themselves for the first 1500 ms
        When each gets 20 requests a second for 30000 ms and repeats every one of them 3 times if it may
        Then no window of 10000 ms holds more repeats than the ratio of its requests and the slack

    Scenario Outline: What a group runs goes on while a member is leaving, and ends when a member is lost
        Given a group of 2 engines that runs a request
        When its second member <event>
        Then the request <fate>, and the group gets nothing new

        Examples:
            | event                  | fate        |
            | announces its leaving  | goes on     |
            | departs                | goes on     |
            | is lost                | is given up |
