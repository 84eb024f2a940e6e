@control-directory
Feature: Control members are discovered from seed addresses

    Scenario: The number of gateways is the highest that a member reports
        Given control members that report 8, 1 and 3 gateways and list each other
        When a process knows only the first of them
        Then it links to all 3
        And it counts 8 gateways

    # Guards against a former member that takes itself for one by its old log, and confirms what only members may confirm.
    Scenario Outline: The member whose log is committed furthest says who is a member
        Given control members that are committed up to <first>, <second> and <third> and list each other
        When a process knows only the first of them
        Then it links to all 3
        And it knows that a process beside them whose log ends at <last> is no member: <known>
        And it knows that the first of them is no member: no

        Examples:
            | first | second | third | last | known |
            | 10    | 30     | 20    | 29   | yes   |
            | 10    | 30     | 20    | 30   | no    |

    Scenario: Before any member has reported, a process counts itself
        Given control members that report 5, 5 and 5 gateways and list each other
        Then a process that knows none of them counts 1 gateways

    # After a power failure, sidecars linked to a leader that is none of their seeds 3 s late, at the next refresh.
    Scenario: The list of members is asked for as soon as the first link opens
        Given control members that report 2, 2 and 2 gateways and list each other
        When a process that refreshes the list once an hour knows only the first of them
        Then it links to all 3
