@engine-groups
Feature: Replica groups of engines that take their orders directly

    Background:
        Given models "big" of 6 members and "small" of 3 members with shares 0.67 and 0.33

    Scenario: Both models are formed in every domain, and the rest stands by for both
        Given 11 engines in each of 3 domains
        When 8000 ms pass before traffic
        Then 3 groups of "big" and 3 groups of "small" serve
        And every engine outside a group joins "big" almost at once and "small" from memory

    Scenario: A lost member is replaced by a standby within a second
        Given 11 engines in each of 1 domains
        When 8000 ms pass before traffic
        And traffic begins
        And a member of rank 3 of a "big" group is lost
        Then a group of "big" serves again within 1000 ms

    Scenario: A lost head is replaced like any member
        Given 11 engines in each of 1 domains
        When 8000 ms pass before traffic
        And traffic begins
        And a member of rank 0 of a "small" group is lost
        Then a group of "small" serves again within 2100 ms

    Scenario: A member that announces its leaving is replaced before it leaves
        Given 11 engines in each of 1 domains
        When 8000 ms pass before traffic
        And traffic begins
        And a member of rank 2 of a "big" group announces its leaving
        Then a group of "big" serves again within 1000 ms

    Scenario: A domain that went dark forms its groups again from what its hosts hold
        Given 11 engines in each of 1 domains
        When 8000 ms pass before traffic
        And traffic begins
        And all engines are lost and 5000 ms later start again
        Then 1 groups of "big" and 1 groups of "small" serve within 3000 ms

    Scenario: Random losses, leavings and restarts never break what must hold
        Given 11 engines in each of 3 domains
        When 8000 ms pass before traffic
        And traffic begins
        And 200 random events from each of 20 seeds come 50 to 3000 ms apart
        Then no group opened without all its members and no member was taken from a serving group

    Scenario: A new leader that has not heard of all members leaves serving groups alone
        Given 11 engines in each of 1 domains
        When 8000 ms pass before traffic
        And traffic begins
        And a new leader hears of only half of the engines for 3000 ms
        Then 1 groups of "big" and 1 groups of "small" serve
        And no order was given in that time

    Scenario: A new leader that has heard of all finds the loss that its predecessor missed
        Given 11 engines in each of 1 domains
        When 8000 ms pass before traffic
        And traffic begins
        And the members of a "big" group lose one while nobody leads
        Then a group of "big" serves again within 1000 ms

    Scenario: Losses without newcomers: what is left serves the model that lacks most
        Given 11 engines in each of 3 domains
        When 8000 ms pass before traffic
        And traffic begins
        And a member of a "big" group is lost every 2500 ms, 9 times in all
        And 3000 ms pass
        Then at least 1 groups of "big" and 1 groups of "small" serve
        And at least 3 groups serve

    Scenario: A member of a small group completes a large one when the model of the large groups lacks more
        Given 11 engines in each of 1 domains
        When 8000 ms pass before traffic
        And traffic begins
        And a member of a "big" group is lost every 2500 ms, 3 times in all
        Then at least 1 groups of "small" and 0 groups of "big" serve

    Scenario: A straggler is replaced by a standby, since a group runs at the pace of its slowest member
        Given 11 engines in each of 1 domains
        When 8000 ms pass before traffic
        And traffic begins
        And a member of rank 4 of a "big" group becomes 12 times slower
        Then a group of "big" serves without it within 1000 ms

    Scenario: Stragglers stay where nobody can take their places
        Given 9 engines in each of 1 domains
        When 8000 ms pass before traffic
        And traffic begins
        And a member of rank 4 of a "big" group becomes 12 times slower
        And 2000 ms pass
        Then the slow member still serves

    Scenario: A head that gave up its group joins the next one of its model without a load
        Given 11 engines in each of 1 domains
        When 8000 ms pass before traffic
        And traffic begins
        And a member of rank 1 of a "small" group is lost
        Then a group of "small" serves again within 2100 ms
        When a member of rank 1 of a "small" group is lost
        Then a group of "small" serves again within 2100 ms

    Scenario: The members of a head that is only unheard are not taken, since it may serve
        Given 11 engines in each of 1 domains
        When 8000 ms pass before traffic
        And traffic begins
        And the head of a "big" group is unheard by a new leader, and a member of it is lost
        And 3000 ms pass
        Then no group opened without all its members and no member was taken from a serving group

    Scenario: Losses and newcomers for a long time: no group waits for a foreign load, and no load displaces a newcomer's model
        Given 11 engines in each of 3 domains
        When 8000 ms pass before traffic
        And traffic begins
        And a member is lost every 3200 ms and a newcomer comes every 3700 ms, for 90000 ms from each of 4 seeds
        Then no order was a waste
        And no group opened without all its members and no member was taken from a serving group

    Scenario: Newcomers get their model at once, whatever copies are made for later
        Given 27 engines in each of 3 domains
        When 8000 ms pass before traffic
        And traffic begins
        And a member of a "big" group is lost every 2500 ms, 2 times in all
        And 2 newcomers come to the first domain
        Then both load a model within 700 ms, which two loads take to start at 3 a second

    Scenario: What is left of a large group waits for the newcomer that completes it, while the other model has its share
        Given 11 engines in each of 3 domains
        When 8000 ms pass before traffic
        And traffic begins
        And a member of a "big" group is lost every 18000 ms, 3 times in all
        Then 2 groups of "big" and 3 groups of "small" serve
        When 1 newcomers come to the first domain
        And 18000 ms pass
        Then 3 groups of "big" and 3 groups of "small" serve

    Scenario: A group with a leaving member ends what it runs before it is formed anew
        Given 11 engines in each of 1 domains
        When 8000 ms pass before traffic
        And traffic begins
        And the groups of "big" run 5 requests
        And a member of rank 2 of a "big" group announces its leaving
        And 3000 ms pass
        Then no "leave" was ordered
        When the groups of "big" run 0 requests
        Then a group of "big" serves again within 1000 ms
