@crash-simulation
Feature: What ends endpoints is quarantined in time, and nothing else, whatever else happens to endpoints

    # Guards against endpoints that end one after the other under requests of one kind, and against refusing sound ones.
    Scenario Outline: <case>
        Given 7 endpoints, 5 gateways and 75 sound requests a second that share their prompt parts
        And <parts> prompt parts that end endpoints, each in <rate> requests a second
        And a request that ends endpoints and is sent every <resent> ms
        And <lost> endpoints that end by themselves every <every> ms
        Then for <seeds> seeds at most 3 sends of what ends endpoints come later than 3000 ms after enough crashes
        And nothing else is quarantined

        Examples:
            | case                                                            | parts | rate | resent | lost | every | seeds |
            | One part                                                        | 1     | 3    | 0      | 0    | 0     | 20    |
            | One part in few requests                                        | 1     | 0.4  | 0      | 0    | 0     | 20    |
            | One part in many requests                                       | 1     | 12   | 0      | 0    | 0     | 20    |
            | Two parts at once                                               | 2     | 2    | 0      | 0    | 0     | 20    |
            | One request that is sent again and again                        | 0     | 0    | 300    | 0    | 0     | 20    |
            | One request that is sent again, and a part                      | 1     | 2    | 300    | 0    | 0     | 20    |
            | Endpoints that end one at a time                                | 0     | 0    | 0      | 1    | 1000  | 20    |
            | Endpoints that end together                                     | 0     | 0    | 0      | 4    | 2500  | 20    |
            | All endpoints end together                                      | 0     | 0    | 0      | 7    | 5000  | 20    |
            | One part while endpoints end by themselves                      | 1     | 2    | 0      | 1    | 1500  | 20    |
            | One part while endpoints end together                           | 1     | 2    | 0      | 3    | 5000  | 20    |

        @three-prompt-parts
        Examples:
            | case                                 | parts | rate | resent | lost | every | seeds |
            | Three parts at once, in few requests | 3     | 0.6  | 0      | 0    | 0     | 20    |

    Scenario: One part at endpoints whose responses begin only with their first content
        Given 7 endpoints, 5 gateways and 75 sound requests a second that share their prompt parts
        And 1 prompt parts that end endpoints, each in 3 requests a second
        And responses that begin with their first content
        Then for 20 seeds at most 3 sends of what ends endpoints come later than 3000 ms after enough crashes
        And nothing else is quarantined

    Scenario: A part that sound requests carried before is quarantined once it ends endpoints
        Given 7 endpoints, 5 gateways and 20 sound requests a second that share their prompt parts
        And a third of them end endpoints from the tenth second on
        Then for 10 seeds that part is quarantined, and nothing else
