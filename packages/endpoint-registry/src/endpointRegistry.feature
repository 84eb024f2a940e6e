@endpoint-registry
Feature: Facts about endpoints are merged by their own order

    Scenario: A late heartbeat of a former incarnation does not bring it back
        Given endpoint "a" born at 100 announces itself at "h:1" with sequence 5
        And endpoint "b" born at 200 announces itself at "h:1" with sequence 1
        When endpoint "a" born at 100 announces itself at "h:1" with sequence 6
        Then the endpoints are "b"

    Scenario: A restart under the same id counts from anew
        Given endpoint "a" born at 100 announces itself at "h:1" with sequence 50
        When endpoint "a" born at 200 announces itself at "h:1" with sequence 1
        Then endpoint "a" is known as born at 200

    Scenario: Leaving is final for an incarnation
        Given endpoint "a" born at 100 announces itself at "h:1" with sequence 1
        And endpoint "a" born at 100 announces its leaving at "h:1" with sequence 2
        When endpoint "a" born at 100 announces itself at "h:1" with sequence 3
        Then endpoint "a" is leaving

    Scenario: A departed endpoint stays away until it is born anew
        Given endpoint "a" born at 100 announces itself at "h:1" with sequence 1
        And endpoint "a" born at 100 departs
        When endpoint "a" born at 100 announces itself at "h:1" with sequence 2
        Then the endpoints are ""
        When endpoint "a" born at 300 announces itself at "h:1" with sequence 1
        Then the endpoints are "a"

    Scenario: A departed endpoint gets nothing new, and is not lost while it ends what it runs
        Given endpoint "a" born at 100 announces itself at "h:1" with sequence 1
        When endpoint "a" born at 100 departs
        Then endpoint "a" is leaving
        And endpoint "a" is alive
        When the sidecar of "h:1" finds nobody after incarnation 100
        Then endpoint "a" is lost

    Scenario: A sidecar that finds nobody shows an endpoint as lost, and a new incarnation as alive
        Given endpoint "a" born at 100 announces itself at "h:1" with sequence 1
        When the sidecar of "h:1" finds nobody after incarnation 100
        Then endpoint "a" is lost
        When endpoint "c" born at 300 announces itself at "h:1" with sequence 1
        And the sidecar of "h:1" sees incarnation 300
        Then the endpoints are "c"
        And endpoint "c" is alive

    Scenario: Facts that arrive in any order show the same
        Given 60 random facts from each of 30 seeds
        Then every order of their arrival shows the same endpoints

    Scenario: A request that was there at the end of several endpoints is known for it, each counted once
        Given the request "poison" was at the end of endpoints "a@1,b@1,a@1,c@2"
        Then "poison" has ended 3 endpoints and "other" 0
