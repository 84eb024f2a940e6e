@planner
Feature: Replica groups are planned from inventory, services and weights

    Scenario: Declared groups are formed, each in one fabric domain
        Given 3 free VMs in domain "a" and 2 in domain "b"
        And a service "x" that declares 2 groups of 2 VMs
        When groups are planned
        Then 2 groups are formed, each in one domain

    Scenario: What is left over stands in reserve
        Given 8 free VMs in domain "a" and 0 in domain "b"
        And a service "x" that declares 1 groups of 2 VMs
        When groups are planned and serve
        Then more than 1 group of "x" serves

    Scenario: A missing group takes VMs back from a reserve
        Given 4 free VMs in domain "a" and 0 in domain "b"
        And a service "x" that declares 1 groups of 2 VMs and uses all that is left
        When groups are planned and serve
        And a service "y" declares 1 groups of 2 VMs
        And groups are planned
        Then one group of "x" is drained, since another service lacks a declared group
