@allowed-regions
Feature: Requests go only to endpoints in regions that their route and their account allow

    # Guards against one of two restrictions that replaces the other, lists without entries that allow nothing, and endpoints
    # in data centres of which no region is known.
    Scenario Outline: With regions "<route>" of the route and "<account>" of the account, requests go to "<endpoints>"
        Given endpoints in the data centres a1 and a2 of region A, b1 of region B, and x of an unknown region
        When a request has a route with the regions "<route>" and an account with the regions "<account>"
        Then it goes to endpoints in "<endpoints>" only, and otherwise is refused as <refusal>

        Examples:
            | route | account | endpoints  | refusal           |
            | all   | all     | a1 a2 b1 x | nothing           |
            | empty | empty   | a1 a2 b1 x | nothing           |
            | A     | all     | a1 a2      | nothing           |
            | all   | B       | b1         | nothing           |
            | A     | none    | a1 a2      | nothing           |
            | A B   | B C     | b1         | nothing           |
            | A     | B       |            | no-allowed-region |
            | C     | all     |            | no-allowed-region |

    # Guards against refusals that name the regions although an evacuation is the reason, and the other way round.
    Scenario Outline: With <evacuated> evacuated, requests with the regions "<route>" go to "<endpoints>"
        Given endpoints in the data centres a1 and a2 of region A, b1 of region B, and x of an unknown region
        And <evacuated> are evacuated
        When a request has a route with the regions "<route>" and an account with the regions "all"
        Then it goes to endpoints in "<endpoints>" only, and otherwise is refused as <refusal>

        Examples:
            | evacuated  | route | endpoints | refusal                |
            | a1         | A     | a2        | nothing                |
            | a1 a2      | A     |           | data-centres-evacuated |
            | a1 a2 b1 x | all   |           | data-centres-evacuated |
            | a1 a2      | C     |           | no-allowed-region      |
