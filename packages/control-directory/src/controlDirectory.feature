@control-directory
Feature: Control members are discovered from seed addresses

    Scenario: The number of gateways is the highest that a member reports
        Given control members that report 8, 1 and 3 gateways and list each other
        When a process knows only the first of them
        Then it links to all 3
        And it counts 8 gateways

    Scenario: Before any member has reported, a process counts itself
        Given control members that report 5, 5 and 5 gateways and list each other
        Then a process that knows none of them counts 1 gateways

    # After a power failure, sidecars linked to a leader that is none of their seeds 3 s late, at the next refresh.
    Scenario: The list of members is asked for as soon as the first link opens
        Given control members that report 2, 2 and 2 gateways and list each other
        When a process that refreshes the list once an hour knows only the first of them
        Then it links to all 3
