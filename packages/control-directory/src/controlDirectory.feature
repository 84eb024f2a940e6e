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
