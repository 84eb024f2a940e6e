@crash-evidence
Feature: What ends endpoints is found from what ran at their crashes

    # Guards against a request that ends one endpoint after the other, however often it is sent.
    Scenario Outline: A request is quarantined after three endpoints ended while they ran it
        Given the requests "bad" ran at <count> crashes, one every 1000 ms
        Then the evidence leads to the quarantine of "<quarantined>"

        Examples:
            | count | quarantined |
            | 0     |             |
            | 2     |             |
            | 3     | bad         |

    Scenario: A crash counts once, however many gateways report it
        Given the requests "bad" ran at 2 crashes, one every 1000 ms
        And each crash is reported again by another gateway
        Then the evidence leads to the quarantine of ""
        And 2 crashes are stored

    Scenario: A crash that is reported twice counts once among others
        Given "poison" ran at the crashes of these endpoints, in turn: "a@1, b@1, a@1, c@2"
        Then "poison" ran at 3 stored crashes and "other" at 0
        And the evidence leads to the quarantine of "poison"

    Scenario: A crash that is reported twice does not make up for a third one
        Given "poison" ran at the crashes of these endpoints, in turn: "a@1, b@1, a@1"
        Then "poison" ran at 2 stored crashes and "other" at 0
        And the evidence leads to the quarantine of ""

    Scenario: What gateways report of one crash is merged
        Given the requests "sound" ran at 3 crashes, one every 1000 ms
        And each crash is reported by another gateway with the requests "bad"
        And the requests "bad" ran at 1 crashes, one every 1000 ms
        Then the evidence leads to the quarantine of "bad"

    Scenario: A request that has run to its end since is not quarantined
        Given the requests "sound" ran at 2 crashes, one every 1000 ms
        And "sound" has run to its end
        And the requests "sound" ran at 2 crashes, one every 1000 ms
        Then the evidence leads to the quarantine of ""

    Scenario: Sound requests that ran beside a bad one are not quarantined
        Given the requests "bad, a, b" ran at 3 crashes, one every 1000 ms
        Then the evidence leads to the quarantine of ""
        Given the requests "bad" ran at 1 crashes, one every 1000 ms
        Then the evidence leads to the quarantine of "bad"
        Given the requests "c" ran at 2 crashes, one every 1000 ms
        Then the evidence leads to the quarantine of "bad"

    Scenario: Requests that no crash tells apart are quarantined together after five
        Given the requests "bad, twin" ran at 5 crashes, one every 1000 ms
        Then the evidence leads to the quarantine of "bad, twin"

    Scenario: Two bad requests at once are both quarantined
        Given the requests "bad, a" ran at 3 crashes, one every 1000 ms
        And "a" has run to its end
        And the requests "worse, a" ran at 3 crashes, one every 1000 ms
        Then the evidence leads to the quarantine of "bad, worse"

    # Guards against a prompt part that ends one endpoint after the other under requests that are all different.
    Scenario: A prompt part is quarantined after five endpoints ended while they ran different requests with it
        Given these run at crashes, one every 1000 ms: "a:first+bad", "b:first+bad", "c:first+bad", "d:first+bad"
        And "prompt-part first" has run to its end
        Then the evidence leads to the quarantine of ""
        Given these run at crashes, one every 1000 ms: "e:first+bad"
        Then the evidence leads to the quarantine of "bad"

    Scenario: A prompt part that has run to its end before is not quarantined while a new one ran at the same crashes
        Given these run at crashes, one every 100 ms: "a:first+bad"
        And "prompt-part first" has run to its end 60000 ms ago
        And these run at crashes, one every 100 ms: "b:first+bad", "c:first+bad", "d:first+bad", "x:first", "e:first+bad"
        Then the evidence leads to the quarantine of "bad"

    Scenario: A request that is sent again and again is quarantined, and not the prompt parts that only it carries
        Given these run at crashes, one every 1000 ms: "bad:p+q", "bad:p+q", "bad:p+q"
        Then the evidence leads to the quarantine of "bad"

    Scenario: A prompt part that used to run to its end is quarantined if nothing else explains the crashes
        Given these run at crashes, one every 1000 ms: "a:first+m1"
        And "prompt-part first" has run to its end 60000 ms ago
        And these run at crashes, one every 1000 ms: "b:first+m2", "c:first+m3", "d:first+m4", "e:first+m5"
        Then the evidence leads to the quarantine of "first"

    Scenario: Two prompt parts that end endpoints at once are both quarantined
        Given these run at crashes, one every 1000 ms: "a:first+bad", "b:first+worse", "c:first+bad, d:first+worse", "e:first+bad"
        And "prompt-part first" has run to its end
        And these run at crashes, one every 1000 ms: "f:first+worse", "g:first+bad", "h:first+worse", "i:first+bad"
        And "prompt-part first" has run to its end
        And these run at crashes, one every 1000 ms: "j:first+worse", "k:first+worse"
        Then the evidence leads to the quarantine of "bad, worse"

    Scenario: Endpoints that end with copies of a request that were sent before count once, as in a loss of power
        Given the requests "sound" were sent 2000 ms before they ran at 11 crashes, one every 90 ms
        Then the evidence leads to the quarantine of ""

    Scenario: Endpoints that end within a moment count if the request was sent to each after the one before had ended
        Given the requests "bad" were sent 30 ms before they ran at 3 crashes, one every 40 ms
        Then the evidence leads to the quarantine of "bad"

    Scenario: A request that was released must end endpoints again before it is quarantined again
        Given the requests "bad" ran at 3 crashes, one every 1000 ms
        Then the evidence leads to the quarantine of "bad"
        When "bad" is released
        And the requests "bad" ran at 2 crashes, one every 1000 ms
        Then the evidence leads to the quarantine of ""

    Scenario: A crash is judged only once all gateways have had time to report it
        Given the requests "bad" ran at 3 crashes, one every 1000 ms
        Then nothing is quarantined 100 ms after the last crash

    Scenario: The memory for crashes is bounded
        Given 2000 crashes with 200 requests each
        Then 128 crashes are stored with 128 requests each
