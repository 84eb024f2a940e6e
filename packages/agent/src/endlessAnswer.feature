@agent-endless-answer
Feature: An agent holds up to a limit of what its engine sends

    # Guards against an agent that holds whatever its engine sends until its memory is exhausted.
    Scenario: A response whose body never ends is given up
        Given an engine whose responses never end
        When the agent's client reads a whole response
        Then the engine has sent less than 64 MB when its connection is closed
