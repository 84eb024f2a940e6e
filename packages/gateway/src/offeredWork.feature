@offered-work
Feature: A gateway counts the work that callers offer

    # Guards against a demand that is measured only where it can be served: a model without groups would never get any.
    Scenario: A request that is refused counts
        Given a gateway without a group of model "m"
        When a caller sends 3 requests of model "m" with 8000 ms left
        Then 3 requests of model "m" are reported

    # Guards against a model that seems to be in demand because its callers are refused and return.
    Scenario: A request that returns after its refusal counts once
        Given a gateway without a group of model "m"
        When a caller sends 1 requests of model "m" with 8000 ms left
        And a caller sends 1 requests of model "m" with 7400 ms left
        And a caller sends 1 requests of model "m" with 6500 ms left
        Then 1 requests of model "m" are reported
