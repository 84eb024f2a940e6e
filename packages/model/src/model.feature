@model
Feature: The core protocols hold their invariants in every state within small bounds, and the checker detects disabled guards

    Scenario Outline: <specification> holds, and is violated without <guard>
        When the specification "<specification>" is explored with all guards, within 20000 states
        Then no invariant is violated
        When the specification "<specification>" is explored without "<guard>"
        Then an invariant is violated, with a trace of <transitions> transitions

        Examples:
            | specification                                    | guard                | transitions |
            | consensus: election                              | majorityOfVotes      | 3           |
            | consensus: a member lacks what is committed      | majorityOfCopies     | 8           |
            | replica groups: loss and repair                  | assignOnlyFree       | 3           |
            | replica groups: loss and repair                  | freeOnlyAfterConfirm | 1           |
            | replica groups: loss and repair                  | allMemberLeases      | 4           |
            | replica groups: loss and repair                  | waitOutGrants        | 3           |
            | replica groups: loss and repair                  | grantsOfPredecessor  | 5           |
            | publish                                          | publishCompareAndSet | 4           |
            | publish                                          | changeIdAnswer       | 3           |
            | control members: losses and replacement          | addOnlyCopies        | 15          |
            | control members: losses and replacement          | silenceFromSending   | 4           |
            | orders of an operator                            | orderSince           | 14          |
            | orders of an operator                            | orderAge             | 7           |
