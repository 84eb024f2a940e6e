@planner
Feature: Replica groups are planned from VMs, declared services and their weights

    Scenario: Declared groups are formed, each in one fabric domain
        Given 3 free VMs in domain "a" and 2 in domain "b"
        And a service "x" that declares 2 groups of 2 VMs
        When groups are planned
        Then 2 groups are formed, each in one domain

    Scenario: Surplus VMs form groups above the declared capacity
        Given 8 free VMs in domain "a" and 0 in domain "b"
        And a service "x" that declares 1 groups of 2 VMs
        When groups are planned and start to serve
        Then more than 1 group of "x" serves

    Scenario: A missing group takes VMs from a group above another service's declared capacity
        Given 4 free VMs in domain "a" and 0 in domain "b"
        And a service "x" that declares 1 groups of 2 VMs and uses all surplus VMs
        When groups are planned and start to serve
        And a service "y" declares 1 groups of 2 VMs
        And groups are planned
        Then one group of "x" is drained, since another service lacks a declared group
