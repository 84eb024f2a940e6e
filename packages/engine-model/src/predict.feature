@engine-model
Feature: First events and pauses are predicted from what remains of each request

    # Guards against a wait for a slot that is predicted from the profile's usual answer, whatever the group's requests have left.
    Scenario Outline: The wait for a slot is what the first request to end has left
        Given a group whose 34 slots run requests with <tokens> tokens left
        Then the first event of another request is predicted between <min> and <max> ms

        Examples:
            | tokens | min  | max   |
            | 10     | 150  | 350   |
            | 1000   | 9000 | 13000 |

    # Guards against a request that is refused for those that it overtakes.
    Scenario: A request overtakes those that wait with less urgency
        Given a group whose 34 slots run requests with 10 tokens left
        And 20 requests of priority 3 wait there
        Then the first event of another request of priority 1 is predicted between 150 and 350 ms
        And the first event of another request of priority 3 is predicted between 700 and 9000 ms

    # Guards against a prediction that ignores the wait for memory.
    Scenario: A request whose prompt does not fit into memory waits until others have ended
        Given a group that runs 5 requests with 1000 tokens left and 330000 tokens of context each
        Then the first event of another request of 100000 tokens is predicted between 19000 and 22000 ms
        And the request would exceed the memory

    # Guards against pauses that are predicted without the prompt that is read between the tokens of others.
    Scenario Outline: The gap between events includes the largest chunk of the prompt
        Given a group that runs 20 requests with 100 tokens left and 1000 tokens of context each, at a pace of <pace>
        Then a request of <prompt> tokens gives gaps between <min> and <max> ms

        Examples:
            | prompt | pace | min | max |
            | 100    | 1    | 40  | 60  |
            | 2048   | 1    | 75  | 95  |
            | 40000  | 1    | 90  | 130 |
            | 40000  | 3    | 270 | 390 |
