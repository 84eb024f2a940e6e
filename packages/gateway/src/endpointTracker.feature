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
