@odd-answers
Feature: Whatever endpoints send, callers get only what an endpoint answered to their request

    # Guards against bytes of an endpoint that reach a caller as the answer to its request, or as a promise that it has not run.
    Scenario: Drawn answers of endpoints
        Then for 400 drawn scripts of answers to a request that may be repeated, each caller gets a true end
        And for 400 drawn scripts of answers to a request that may run once, each caller gets a true end

    # Guards against events that are joined, lost or changed where the chunks of a stream are split.
    Scenario: Drawn streams in drawn chunks
        Then for 500 drawn streams the events and what is left are the stream's bytes, whatever the size of its chunks
