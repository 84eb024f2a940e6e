@evacuation-planning
Feature: No groups are formed in an evacuated data centre, and its open groups count for nothing

    Background:
        Given models of 8 and 4 endpoints with declared shares 0.5 and 0.5, in 3 domains of 19 engines

    # Guards against groups whose members were dispersed: they must serve at once when the evacuation is withdrawn.
    Scenario: Open groups stay open, and no order goes to the data centre
        When data centre "d0" is evacuated for 30 s
        Then 3 large and 6 small groups serve
        And no endpoint of "d0" was ordered anything

    Scenario: A group that breaks during the evacuation is formed again after it
        When data centre "d0" is evacuated for 1 s
        And a member of a large group of "d0" is lost
        And the fleet runs for 20 s
        Then no endpoint of "d0" was ordered to join
        When the evacuation of "d0" ends, and 5 s pass
        Then 3 large and 6 small groups serve

    # Guards against a model without any group outside the evacuated data centres, because those inside count for it.
    Scenario: The data centre that is left serves both models
        When the share of the large model is 0.3 for 30 s
        Then 2 large and 8 small groups serve
        When the data centres with large groups are evacuated for 10 s
        Then at least 1 large groups serve outside them
        And 2 large groups serve in them
