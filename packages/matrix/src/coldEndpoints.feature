@cold-simulation
Feature: A cold endpoint receives no more in any second than its service declares

    # Guards against gateways that each use the whole rate, and against warm traffic that goes on after the endpoint became
    # cold between two heartbeats.
    Scenario Outline: The bound holds over all gateways at whatever time an endpoint becomes cold, and the rate is used
        Given <endpoints> endpoints with a cold rate of <rate> a second, <gateways> gateways and <requests> requests a second
        And responses that <responses> that their endpoint is cold
        When endpoint 0 becomes cold at 8 times, each at another moment of its heartbeats
        Then in no second an endpoint has received more than 1.5 times its cold rate and 5 requests while it was cold
        And cold endpoints have received at least <used> requests a second

        Examples:
            | endpoints | rate | gateways | requests | responses | used |
            | 3         | 32   | 12       | 60       | don't say | 16   |
            | 3         | 32   | 12       | 100      | don't say | 16   |
            | 3         | 32   | 12       | 100      | say       | 16   |
            | 4         | 32   | 35       | 100      | don't say | 12   |
            | 1         | 32   | 12       | 30       | don't say | 16   |
            | 4         | 4    | 5        | 20       | say       | 1    |
            | 4         | 32   | 190      | 100      | don't say | 10   |

    # Guards against a new leader that grants again what a former one has granted, and against gateways that use the whole
    # rate or no limit while there is no leader.
    Scenario Outline: The bound holds while the leader is replaced
        Given 3 endpoints with a cold rate of 32 a second, <gateways> gateways and 100 requests a second
        And responses that don't say that their endpoint is cold
        When endpoint 0 becomes cold 4 times, and the leader is replaced each time after <after> ms, after <without> ms without one
        Then in no second an endpoint has received more than 1.5 times its cold rate and 5 requests while it was cold

        Examples:
            | gateways | after | without |
            | 12       | 100   | 1500    |
            | 12       | 1500  | 800     |
            | 35       | 1500  | 800     |

    # Guards against gateways that receive no heartbeats and take all endpoints for warm, and against a leader that grants the
    # whole rate beside them.
    Scenario Outline: The bound holds with gateways without contact to control
        Given 3 endpoints with a cold rate of 32 a second, <gateways> gateways and 100 requests a second
        And responses that don't say that their endpoint is cold
        When the first <cut> gateways are cut off from control
        And endpoint 0 becomes cold at 4 times, each at another moment of its heartbeats
        And the gateways are cut off no longer
        And endpoint 0 becomes cold at 2 times, each at another moment of its heartbeats
        Then in no second an endpoint has received more than 1.5 times its cold rate and 5 requests while it was cold

        Examples:
            | gateways | cut |
            | 12       | 1   |
            | 12       | 6   |
            | 12       | 12  |
            | 35       | 10  |

    # Guards against the same with a single endpoint, where nothing else takes the requests: gateways that know that it is cold
    # from its responses, and gateways that don't and send most of the requests.
    Scenario Outline: The bound holds at a single endpoint with gateways without contact to control
        Given 1 endpoints with a cold rate of 32 a second, 12 gateways and <requests> requests a second
        And responses that <responses> that their endpoint is cold
        When the first <cut> gateways are cut off from control
        And endpoint 0 becomes cold at 4 times, each at another moment of its heartbeats
        Then in no second an endpoint has received more than 1.5 times its cold rate and 5 requests while it was cold

        Examples:
            | requests | responses | cut |
            | 100      | say       | 6   |
            | 60       | don't say | 9   |

    # Guards against endpoints that became cold during an evacuation, of which a gateway has an older heartbeat.
    Scenario: The bound holds from the moment at which the evacuation of a data centre is withdrawn
        Given 1 endpoints with a cold rate of 32 a second, 12 gateways and 100 requests a second
        And responses that don't say that their endpoint is cold
        When no requests are sent, endpoint 0 becomes cold, and its data centre returns at once
        Then in no second an endpoint has received more than 1.5 times its cold rate and 5 requests while it was cold

    # Shows that the simulation has load enough to break the bound.
    Scenario: Without the declaration, the same load breaks the bound
        Given 3 endpoints with a cold rate of 32 a second, 12 gateways and 100 requests a second
        And responses that don't say that their endpoint is cold
        And a service that does not declare a cold time
        When endpoint 0 becomes cold at 8 times, each at another moment of its heartbeats
        Then in some second endpoint 0 has received more than 1.5 times its cold rate and 5 requests while it was cold
