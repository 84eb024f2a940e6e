@capacity-sharing
Feature: Capacity is shared by rank and account, and refused requests return when there is room

    # Guards against less urgent work that takes slots from more urgent work, and against ranks that get nothing at all.
    Scenario: The most urgent rank comes first, and no rank starves
        Given rank 0 offers 60, rank 1 offers 60 and rank 2 offers 80 by one account each, with capacity for 100
        Then the admitted fractions of the ranks are 1.00, 0.47 and 0.15

    # Load pattern: one account offers most of the work.
    Scenario: Accounts of a rank are admitted equally
        Given accounts of one rank offer 10, 10 and 180, with capacity for 100
        Then the admitted fractions of the accounts are 1.00, 1.00 and 0.44

    # Guards against a single large request that makes its account a large one, so that size decides.
    Scenario: One request of ten times the work is admitted like the others
        Given accounts of one rank offer one request each, of 10, 10, 10, 10 and 100, with capacity for half
        Then each account is admitted at least 0.45

    Scenario Outline: A request that can be in time is not refused while less than half of the slots are used
        Given a rank of which <fraction> is admitted and groups that use <used> of their slots
        When requests that are predicted to be in time are decided with all draws
        Then <admitted> of them are admitted

        Examples:
            | fraction | used | admitted      |
            | 0        | 0.49 | all           |
            | 0.3      | 0.7  | 0.65          |
            | 0.3      | 0.9  | 0.30          |
            | 1        | 1    | all           |

    # Guards against callers that send refused requests again until a draw admits them.
    Scenario: A request that returns early is admitted less often than a new one
        Given a rank of which 0.3 is admitted and groups that use 0.9 of their slots
        When they have been refused before and return earlier than they were told
        Then 0.09 of them are admitted

    Scenario Outline: A late request is sent only where it costs nobody else the objective
        Given a rank of which 1 is admitted and groups that use <used> of their slots
        Then a request that is late <when> is <decision>

        Examples:
            | used | when                                           | decision    |
            | 0.69 | while capacity is left                         | sent        |
            | 0.71 | while capacity is left                         | not sent    |
            | 0.9  | while capacity is left, for its prompt's size  | sent        |
            | 0.49 | in overload                                    | sent        |
            | 0.55 | in overload                                    | not sent    |
            | 0.9  | in overload, and returns as told               | sent        |

    # Load pattern: 100 refusals at one moment. Guards against refused requests that meet again and are refused again.
    Scenario: No interval gets more returns than it has room for
        Given room for 20 in each interval of 100 ms
        When 100 requests of 10 with 10000 ms left are refused at 1000 ms
        Then no interval has more than 2 returns, and the last of them is after 5900 ms

    Scenario: A request that needs the room of several intervals takes it
        Given room for 20 in each interval of 100 ms
        When 10 requests of 60 with 10000 ms left are refused at 1000 ms
        Then no interval has more than 1 returns, and the last of them is after 3700 ms

    # Guards against returns that are bound to be refused again.
    Scenario: Without room in the time that is left, no return is scheduled
        Given room for 20 in each interval of 100 ms
        When 100 requests of 10 with 3000 ms left are refused at 1000 ms
        Then 42 of them have no return

    # Guards against callers that return when they like and take the room of those that wait.
    Scenario: Precedence is given to as much work as has been scheduled
        Given room for 20 in each interval of 100 ms
        When 4 requests of 10 with 10000 ms left are refused at 1000 ms
        Then returns at 1050 ms take precedence 0 times
        And returns at 1390 ms take precedence 4 times

    Scenario: Without recent totals, a gateway uses its even share of the demand
        Given a gateway of 10 that offers 50 a second for 4000 ms
        Then it estimates the demand at 500 and its share at 0.10
        When control reports a demand of 250
        Then it estimates the demand at 250 and its share at 0.20
        When 3100 ms pass without a report, at the same load
        Then it estimates the demand at 500 and its share at 0.10

    # Guards against chance at one gateway that looks like overload: a few requests in 2 s vary by a quarter.
    Scenario: Few requests of one gateway show no overload
        Given a gateway of 10 that offers 50 a second for 4000 ms
        Then a capacity of 450 is not exceeded, and one of 350 is

    Scenario: Any number of models, ranks and accounts is held in bounded memory
        When requests of 1000 models, and of 1000 ranks and 1000 accounts of one model, arrive
        Then 256 models are known, and 10 ranks of at most 65 accounts
