@agent-endless-answer
Feature: An agent holds up to a limit of what its engine sends, and passes on only responses

    # Guards against an agent that holds whatever its engine sends until its memory is exhausted.
    Scenario: A response whose body never ends is given up
        Given an engine whose responses never end
        When the agent's client reads a whole response
        Then the engine has sent less than 64 MB when its connection is closed

    # Guards against a caller that gets, as an answer, what an engine in trouble sends with a status that is none of HTTP.
    Scenario Outline: A response with the status <status> is none
        Given an engine whose responses have the status <status>
        Then the agent's client reports that a request has no response

        Examples:
            | status |
            | 000    |
            | 099    |
            | 600    |
            | 999    |
