@log-story
Feature: A request's end is explained from log lines

    Background:
        Given these log lines:
            """
            3.40 side-1 at=2026-01-01T00:00:03.400Z level=info event=engine-lost process=side-1 address=10.1.0.25:8140 bornMs=17
            3.43 core-1 at=2026-01-01T00:00:03.430Z level=info event=engine-order process=core-1 endpoint=i-head address=10.1.0.24:8140 order=leave group=r-6-m epoch=7 reason="a member is missing"
            3.41 front-1 at=2026-01-01T00:00:03.410Z level=info event=attempt-ended process=front-1 requestId=streamed endpoint=i-head outcome="its group no longer serves" status=200
            3.90 front-1 at=2026-01-01T00:00:03.900Z level=info event=request-ended process=front-1 requestId=streamed status=200 cause=served sends=2
            4.02 front-2 at=2026-01-01T00:00:04.020Z level=info event=request-ended process=front-2 requestId=refused status=503 cause=no-endpoint sends=0
            at=2026-01-01T00:00:05.000Z level=info event=control-link-closed process=front-2 address=10.1.0.3:1 reason="reset"
            at=2026-01-01T00:00:05.000Z level=info event=control-link-closed process=front-1 address=10.1.0.4:1 reason="reset"
            at=2026-01-01T00:00:05.500Z level=info event=request-refused process=front-2 requestId=early status=503 cause=no-configuration
            at=2026-01-01T00:00:06.000Z level=info event=request-ended process=front-1 requestId=broken status=0 cause=cut-endpoint-failed sends=2
            at=2026-01-01T00:01:30.000Z level=info event=configuration-applied process=front-1 version=9 previous=8
            at=2026-01-01T00:01:40.000Z level=info event=request-refused process=front-1 requestId=lost-route status=404 cause=no-route
            at=2026-01-01T00:01:45.000Z level=warn event=quarantined process=core-1 subject=request id=ab12 service=s crashes=3 endpoints="i-1@1,i-2@1,i-3@1"
            at=2026-01-01T00:01:46.000Z level=warn event=quarantined process=core-1 subject=request id=cd34 service=s crashes=3 endpoints="i-4@1,i-5@1,i-6@1"
            at=2026-01-01T00:03:00.000Z level=info event=request-ended process=front-1 requestId=bad status=503 cause=fenced sends=0 quarantined="request ab12" crashes=3
            at=2026-01-01T00:03:10.000Z level=info event=quarantine-released process=front-1 subject=request id=cd34 crashes=3
            at=2026-01-01T00:04:00.000Z level=info event=endpoint-limit-changed process=core-1 endpoint=i-9@1 perSecond=1.33
            at=2026-01-01T00:04:01.000Z level=info event=permits-not-granted process=front-2 message="no leader"
            at=2026-01-01T00:04:02.000Z level=info event=request-ended process=front-1 requestId=limited status=503 cause=over-limit sends=0 limited=3
            at=2026-01-01T00:05:00.000Z level=info event=evacuation-applied process=front-1 dataCentre=a isEvacuated=true revision=12
            at=2026-01-01T00:05:01.000Z level=info event=evacuation-applied process=front-2 dataCentre=a isEvacuated=true revision=12
            at=2026-01-01T00:09:00.000Z level=info event=request-ended process=front-1 requestId=evacuated status=503 cause=data-centres-evacuated sends=0
            not a line of ours
            """

    Scenario: A refusal for lack of an endpoint is explained by the lost engine and the order to leave its group
        Then "refused" ended with "status 503, no-endpoint: refused, has not run: no endpoint served its model or service"
        And its causes are "engine-lost side-1, engine-order core-1"

    Scenario: A stream that moved to another group is explained by the order to its former head
        Then "streamed" ended with "status 200, served: an endpoint's answer was delivered"
        And its causes are "engine-order core-1"

    Scenario: Lost links of other gateways are not causes
        Then "early" ended with "status 503, no-configuration: refused, has not run: the gateway had no configuration yet"
        And its causes are "control-link-closed front-2"

    Scenario: The summary of a cut-off answer states that it had started
        Then "broken" ended with "status 0, cut-endpoint-failed: may have run: an endpoint's answer was incomplete, and the request must not be sent again (the answer had started and was cut off)"

    Scenario: A missing route is explained by the configuration in force, regardless of its age
        Then "lost-route" ended with "status 404, no-route: no route of the configuration in force matches"
        And its causes are "configuration-applied front-1"

    Scenario: A request without log lines is reported as not found
        Then "unknown" ended with "no log line of the request was found; lines may have been dropped, see log-lines-dropped"

    Scenario: A refusal of what is quarantined names it and the crashes, regardless of their age
        Then "bad" ended with "status 503, fenced: refused, has not run: endpoints ended each time that it, or what it carries, ran (request ab12 is quarantined after 3 crashes)"
        And its causes are "quarantined core-1"

    Scenario: What is quarantined is listed from log lines, without what was released
        Then the log lines say that "request ab12" is quarantined after crashes of "i-1@1,i-2@1,i-3@1"

    Scenario: A refusal for a limit is explained by the limits that changed before it
        Then "limited" ended with "status 503, over-limit: refused, has not run: the endpoints limit their requests, and none could take it in time"
        And its causes are "endpoint-limit-changed core-1"

    Scenario: A refusal for an evacuation is explained by the newest one that its gateway has applied, regardless of its age
        Then "evacuated" ended with "status 503, data-centres-evacuated: refused, has not run: all endpoints that could serve it are in evacuated data centres"
        And its causes are "evacuation-applied front-1"
