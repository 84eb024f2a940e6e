@gateway
Feature: Routing and refusal of requests in a gateway

    Scenario: The route with the longest matching prefix of the host is used
        Given routes "/a/" to "x" and "/a/b/" to "y" of host "h.example"
        Then a request for "/a/b/c?q=1" of host "H.example:80" goes to "y"
        And a request for "/a/bc" of host "h.example" goes to "x"
        And a request for "/b/" of host "h.example" goes to ""

    Scenario: Targets are chosen by weight
        Given a route with weights 90 for "x" and 10 for "y"
        Then draws 0, 0.899, 0.901 and 0.999 choose "x", "x", "y" and "y"

    Scenario Outline: A stream is split into complete events, whatever the size of its chunks
        Given the stream "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: par" in chunks of <bytes> bytes
        Then the events are 1 and 2, and "id: 3\ndata: par" is incomplete

        Examples:
            | bytes |
            | 1     |
            | 3     |
            | 100   |

    Scenario: Under moderate load a request goes to the group with the earliest predicted first event
        Given groups with 20, 5 and 12 requests of 34 slots
        When a request arrives with 400 ms to its objective
        Then it goes to group 2

    Scenario: When all groups are full, a request that would miss its objective is refused at once with a retry-after time
        Given groups with 40, 45 and 50 requests of 34 slots
        When a request arrives with 400 ms to its objective
        Then it is refused with a retry-after time of 150 to 2500 ms

    # The next three concern requests that have been sent before; @capacity-sharing and @endpoint-chooser have the others.
    Scenario: A late request is accepted by a group with free slots, where it delays no other request
        Given groups with 10, 30 and 34 requests of 34 slots
        When a request arrives with -500 ms to its objective
        Then it goes to group 1

    Scenario: A late request is accepted while a group has a free slot, which requests that can be in time are given first
        Given groups with 32, 33 and 34 requests of 34 slots
        When a request arrives with -500 ms to its objective
        Then it goes to group 1

    Scenario: A late request is refused when all groups are busy, since it would delay requests that can be in time
        Given groups with 33, 34 and 40 requests of 34 slots
        When a request arrives with -500 ms to its objective
        Then it is refused with a retry-after time of 150 to 2500 ms

    Scenario: No group serves the model
        Given no groups
        When a request arrives with 400 ms to its objective
        Then there is no group to send it to

    Scenario: A request's age is estimated from its shorter deadline
        Given requests of a route with deadlines of 8000, 8000 and 6500 ms
        Then the last of them is 1500 ms old

    # Callers of a route waited for 5100 to 6000 ms. Measured against the longest, first attempts counted as 450 ms old on
    # average: three quarters of them were sent with the priority of requests that miss their objective of 250 ms.
    Scenario Outline: Load pattern "callers of different patience": their first attempts count as new, retries of 1200 ms as late
        Given 1000 first attempts with deadlines from 5100 to 6000 ms, and a retry 1200 ms later of <retries> in 100 of them
        Then at most 10 in 100 of the first attempts count as older than 50 ms, and none as older than 150 ms
        And at least <found> in 100 of the retries count as older than 100 ms

        Examples:
            | retries | found |
            | 0       | 0     |
            | 10      | 90    |
            | 60      | 90    |

    # Guards against a few callers that wait far longer: measured against them, no retry would count as one.
    Scenario: Load pattern "a few patient callers": retries of the others are still recognized
        Given 4 in 100 callers wait 30000 ms
        And 1000 first attempts with deadlines from 5100 to 6000 ms, and a retry 1200 ms later of 10 in 100 of them
        Then at most 10 in 100 of the first attempts count as older than 50 ms, and none as older than 150 ms
        And at least 80 in 100 of the retries count as older than 100 ms

    Scenario: An idle group that fails most requests is passed over for a busier one
        Given groups with 20, 0 and 12 requests of 34 slots
        And group 2 fails most requests
        When a request arrives with 400 ms to its objective
        Then it goes to group 3

    # Guards against a choice by the predicted first event alone, which makes the running streams of a group pause.
    Scenario: A group whose streams would pause longer than their objective is passed over for one with more requests
        Given groups with 20, 5 and 12 requests of 34 slots
        And group 2 runs at a pace of 3
        When a request of 8000 prompt tokens and 100 answer tokens arrives, where events may be 200 ms apart
        Then it goes to group 3

    # Guards against a request that makes an engine preempt others, whose prompts are then read again.
    Scenario: A group whose memory is too small for one more request is passed over for one with a later first event
        Given groups with 20, 5 and 12 requests of 34 slots
        And group 1 runs at a pace of 2
        And group 3 runs at a pace of 2
        And group 2 uses 1699000 tokens of memory
        When a request of 1000 prompt tokens and 100 answer tokens arrives, where events may be 200 ms apart
        Then it goes to group 3

    # Guards against a request that is sent nowhere because it would disturb others everywhere.
    Scenario: Where every group's streams would pause, the earliest first event decides
        Given groups with 20, 5 and 12 requests of 34 slots
        When a request of 8000 prompt tokens and 100 answer tokens arrives, where events may be 10 ms apart
        Then it goes to group 2

    # Guards against gateways that avoid each other and so refuse, or send late, what a group could serve in time.
    Scenario: A group that is on time is used before one that is late, however much of this gateway's work it has
        Given groups with 36, 5 and 38 requests of 34 slots
        And 900 ms are added to group 2 to spread gateways
        When a request of 1000 prompt tokens and 100 answer tokens arrives, where it has 300 ms to its objective
        Then it goes to group 2

    Scenario Outline: A stopping gateway refuses requests that it might not finish, so that callers can retry elsewhere
        Then a gateway that stops within 8000 ms accepts a request of up to <duration> ms that arrives <since> ms after the signal: <accepted>

        Examples:
            | duration | since | accepted |
            | 8000     | 100   | yes      |
            | 8000     | 2400  | yes      |
            | 8000     | 4400  | no       |
            | 1000     | 4400  | yes      |
            | 1000     | 6000  | no       |

    Scenario: Gateways that start together stay within the shared retry budget before they discover each other
        Given 8 gateways that share a ratio of 0.2 and a slack of 200 and discover each other after 1500 ms
        When each gets 20 requests a second for 30000 ms and retries every one of them 3 times if the budget allows
        Then no window of 10000 ms has more retries than the ratio of its requests plus the slack

    # Guards against a service with few requests whose endpoints fail for a moment, and for which no retry is left.
    Scenario: A service with few requests has its share of the slack again and again
        Given 4 gateways that share a ratio of 0.2 and a slack of 200 and discover each other after 1500 ms
        When each gets 2 requests a second for 60000 ms and retries every one of them 1 times if the budget allows
        Then at least 0.9 of the retries after the first 10000 ms are granted
        And no window of 10000 ms has more retries than the ratio of its requests plus the slack

    Scenario Outline: A group completes its requests while a member is leaving, and fails them when a member is lost
        Given a group of 2 engines that runs a request
        When its second member <event>
        Then the request <outcome>, and the group gets no new requests

        Examples:
            | event                  | outcome   |
            | announces its leaving  | continues |
            | departs                | continues |
            | is lost                | fails     |
