@fact-filter
Feature: Gateways and members get the facts about endpoints that they need, and no others

    # Guards against traffic between processes that grows with endpoints, gateways and reports.
    Scenario Outline: What is forwarded to gateways
        Given an engine that <role> and was observed <since> ms ago
        When its next observation <change>
        Then it is forwarded to gateways: <forwarded>

        Examples:
            | role                   | since | change                        | forwarded |
            | heads an open group    | 150   | differs in load               | yes       |
            | heads an open group    | 1000  | is the same                   | yes       |
            | is a member of a group | 150   | differs in load               | no        |
            | is a member of a group | 1000  | is the same                   | no        |
            | is a member of a group | 5000  | is the same                   | yes       |
            | is a member of a group | 150   | differs in pace               | yes       |
            | is a member of a group | 150   | differs in what its host holds | no       |
            | is a member of a group | 150   | says that it is lost          | yes       |
            | is a member of a group | 150   | shows another incarnation     | yes       |
            | is a member of a group | 150   | is of another sidecar process | yes       |
            | is a member of a group | 150   | shows another group           | yes       |
            | is in no group         | 150   | differs in load               | no        |
            | is in no group         | 150   | says that it is cold          | yes       |

    Scenario Outline: What other members and gateways get of heartbeats
        Given <endpoint> with a heartbeat <since> ms ago
        When its next heartbeat <change>
        Then it is sent to other members: <members>
        And it is sent to gateways: <gateways>

        Examples:
            | endpoint         | since | change                     | members | gateways |
            | an engine        | 1200  | is the same                | no      | no       |
            | an engine        | 5000  | is the same                | yes     | no       |
            | an engine        | 1200  | says that it is leaving    | yes     | yes      |
            | an engine        | 1200  | shows another incarnation  | yes     | yes      |
            | an engine        | 1200  | says that it is cold       | yes     | yes      |
            | a plain endpoint | 1200  | is the same                | yes     | yes      |

    # Guards against members that restart together, and of which the one that leads knows no endpoints for seconds.
    Scenario: The next heartbeat of each endpoint is sent to other members once one has linked anew
        Given an engine with a heartbeat 1200 ms ago
        When a member links anew
        And its next heartbeat is the same
        Then it is sent to other members: yes
