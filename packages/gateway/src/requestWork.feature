@request-work
Feature: A gateway accounts for the work of its requests and learns from their answers

    # Guards against work that stays at an endpoint after its request, and against events that don't correct it.
    Scenario: A generation's remaining work falls with its events and ends with its attempt
        Given a generation with the hint 100 at an endpoint
        Then its endpoint has 120 to 140 tokens left
        When it has received 15 events of 5 tokens
        Then its endpoint has 85 to 105 tokens left
        When its attempt ends
        Then its endpoint has 0 to 0 tokens left

    # Guards against an estimate that never learns, and against one that learns from answers that don't show the work.
    Scenario Outline: The estimate follows <outcome>: <learns>
        Given 30 generations with the hint 100 that received 60 events of 5 tokens and ended as <outcome>
        Then a generation with the hint 100 is estimated above 200 tokens: <learns>

        Examples:
            | outcome                          | learns |
            | "complete answers"               | yes    |
            | "broken streams"                 | no     |
            | "answers of status 404"          | no     |
            | "streams that callers resumed"   | no     |

    # Guards against a choice by the number of requests where their work is known.
    Scenario: A plain request goes where less work is left, not where fewer requests are
        Given an endpoint with 1 request of 500 ms and one with 3 requests of 10 ms, which both report their load
        Then a request of 20 ms goes to the second
        And where neither has reported its load, it goes to the first

    # Guards against a choice that costs more with each group of a large deployment.
    Scenario: Of many groups, one choice considers a random part
        Then of 1500 groups 64 different ones are considered, and of 60 all

    # Guards against a log and a metric that don't show how good the estimates are.
    Scenario: The end of a request shows its estimated and its actual work
        Given a gateway that answers a plain request after 100 ms
        Then its log line has the estimated work and 100 ms of actual work
        And the ratio of both is counted, and no work is left at the endpoint
