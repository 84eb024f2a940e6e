@model
Feature: The core protocol holds in every state within small bounds, and the checker can find faults

    Scenario Outline: <specification> holds, and is broken without <guard>
        When the specification "<specification>" is explored as it is, within 20000 states
        Then no promise is broken
        When the specification "<specification>" is explored without "<guard>"
        Then a promise is broken, with a trace of <moves> moves

        Examples:
            | specification                                    | guard                | moves |
            | consensus: election                              | majorityOfVotes      | 3     |
            | consensus: a member lacks what is committed      | majorityOfCopies     | 8     |
            | replica groups: loss and repair                  | assignOnlyFree       | 3     |
            | replica groups: loss and repair                  | freeOnlyAfterConfirm | 1     |
            | replica groups: loss and repair                  | allMemberLeases      | 4     |
            | replica groups: loss and repair                  | waitOutGrants        | 3     |
            | replica groups: loss and repair                  | grantsOfPredecessor  | 5     |
            | publish                                          | publishCompareAndSet | 4     |
            | publish                                          | changeIdAnswer       | 3     |
