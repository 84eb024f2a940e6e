@endpoint-tracker
Feature: A gateway's view of endpoints follows from the facts, however they are applied

    # Guards against a view that is refreshed for the load of one endpoint and then differs from the whole computation.
    Scenario: After each of many random facts, heads, their load and pace are those of a computation of all facts
        Then 2000 random sequences of 40 facts about 6 engines give the same heads, loads and plain endpoints

    # Guards against one unusable fact that ends the gateway or takes the others of its message with it.
    Scenario Outline: A fact that can't be used is left out, and the others of its message hold
        Given a gateway that is sent the fact of a sound endpoint and one <fault>
        Then it chooses the sound endpoint and no other
        And it logs the refused fact with its writer and the reason <reason>

        Examples:
            | fault                                   | reason                    |
            | "that is null"                          | "not an object"           |
            | "of an unknown kind"                    | "kind is unknown"         |
            | "with a port out of range"              | "address"                 |
            | "with an unreadable address"            | "address"                 |
            | "without an address"                    | "address"                 |
            | "with an id that no header holds"       | "id"                      |
            | "with a sequence that is not a number"  | "sequence"                |
            | "with a born time past all dates"       | "bornMs"                  |
            | "with an engine that is a list"         | "engine"                  |
            | "with a pace of infinity"               | "engine.pace"             |
            | "with models nested in lists"           | "engine.models"           |
            | "with a group of an unknown state"      | "engine.group.state"      |
            | "with a fractional rank"                | "engine.group.rank"       |
            | "with half of a character in its zone"  | "dataCentre"              |

    # Guards against requests at a sound endpoint that end because of one entry with its id and a later start, and against
    # an endpoint that gets no requests after it.
    Scenario: An entry with the id of a sound endpoint and a later start ends none of its requests
        Given a gateway with a sound endpoint that runs a request
        When an entry with its id and a later start, at another address, arrives
        Then the request goes on
        When the sound endpoint goes on with its heartbeats for 5000 ms
        Then the request goes on
        And new requests go to the sound endpoint

    Scenario: The requests of an endpoint that has started again end once nothing of the former is left
        Given a gateway with a sound endpoint that runs a request
        When an entry with its id and a later start, at another address, arrives
        And the newer incarnation is observed at the address of the former
        Then the request has ended as lost

    # Guards against a gateway that keeps every id that was ever reported to it, and against one that forgets sound endpoints
    # because control can't be reached.
    Scenario Outline: An endpoint without heartbeats is forgotten once control has reported others <how>
        Given a gateway with a sound endpoint that runs <requests> request
        When another endpoint sends heartbeats <how>
        And stale endpoints are removed
        Then the sound endpoint is <outcome>

        Examples:
            | how                        | requests | outcome   |
            | for 90 s without a pause   | no       | forgotten |
            | for 90 s without a pause   | a        | known     |
            | once, after 90 s           | no       | known     |
            | for 50 s without a pause   | no       | known     |
