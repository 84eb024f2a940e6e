@control-directory
Feature: Control members are found from a few addresses

    Scenario: The number of gateways is the largest that a member tells
        Given control members that tell of 8, 1 and 3 gateways and list each other
        When a process knows only the first of them
        Then it links to all 3
        And it counts 8 gateways

    Scenario: Before any member has told, a process counts itself
        Given control members that tell of 5, 5 and 5 gateways and list each other
        Then a process that knows none of them counts 1 gateways
