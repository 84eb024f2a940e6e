@event-id
Feature: Ids of events are compared as numbers of any length

    # Guards against ids that are equal or out of order as floating-point numbers, or out of order as text.
    Scenario: The order of ids is that of their numeric values
        Then any ids compare as integers of any size, with leading zeros too

    Scenario Outline: Only decimal digits that a header can hold are an id
        Then the text <text> is <reading>

        Examples:
            | text                   | reading     |
            | 0                      | an event id |
            | 18446744073709551617   | an event id |
            | with 65536 digits      | an event id |
            | with 65537 digits      | no event id |
            | -1                     | no event id |
            | 1.5                    | no event id |
            | 1e3                    | no event id |
            | 0x10                   | no event id |
            | 1,2                    | no event id |
