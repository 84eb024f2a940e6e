import type { LogLine } from "./parseLogLine.js";

/** How one request ended and why, according to the log lines of all processes. */
export interface RequestExplanation {
    /** Lines of the final answer, one for each time that a request with this id ended. */
    ends: LogLine[];
    /** Lines of the attempts at endpoints, in the order in which they ended. */
    attempts: LogLine[];
    /** Lines of other events that explain the end, oldest first. */
    causes: LogLine[];
    /** How the request ended, in one sentence, or that no line of its end was found. */
    summary: string;
}

/** Maximum time from a cause to the first attempt's end, in milliseconds: engines leave a stalled group within it. */
const LOOK_BACK_MS = 6000;
/** Maximum time from the end to a cause, in milliseconds: clocks differ, and a sidecar may detect a loss later. */
const LOOK_AHEAD_MS = 500;

const EndEvent = { Ended: "request-ended", Refused: "request-refused" } as const;

interface CauseExplanation {
    meaning: string;
    /** Events that may have caused the end if logged shortly before it. */
    events: string[];
    /** Event that set the gateway's state; its newest line before the end is a cause, regardless of its age. */
    stateEvent?: string;
}

/** Meaning of each cause of an answer, and the events that explain it. */
const CAUSE_EXPLANATIONS: Record<string, CauseExplanation> = {
    "served": { meaning: "an endpoint's answer was delivered", events: [] },
    "no-endpoint": {
        meaning: "refused, has not run: no endpoint served its model or service",
        events: ["engine-lost", "engine-order", "endpoint-leaving", "consensus-role", "control-link-closed"],
    },
    "no-room": {
        meaning:
            "refused, has not run: no group could have answered in time, or more urgent work was offered than they can do",
        events: ["capacity-shared", "engine-lost", "engine-order"],
    },
    "over-limit": {
        meaning: "refused, has not run: the endpoints limit their requests, and none could take it in time",
        events: ["endpoint-limit-changed", "endpoint-limit-named", "endpoint-cold", "permits-not-granted"],
    },
    "endpoints-paused": {
        meaning: "refused, has not run: each endpoint had asked to be sent nothing for a time",
        events: ["endpoint-paused", "endpoint-leaving"],
    },
    "data-centres-evacuated": {
        meaning: "refused, has not run: all endpoints that could serve it are in evacuated data centres",
        events: ["engine-lost", "engine-order"],
        stateEvent: "evacuation-applied",
    },
    "no-allowed-region": {
        meaning: "refused, has not run: no endpoint is in a region that its route and account allow",
        events: [],
        stateEvent: "configuration-applied",
    },
    "no-configuration": {
        meaning: "refused, has not run: the gateway had no configuration yet",
        events: ["started", "control-link-opened", "control-link-closed", "configuration-applied"],
    },
    "configuration-behind": {
        meaning: "refused, has not run: the gateway could not read a newer configuration that was in force",
        events: ["configuration-not-read", "control-link-closed", "control-link-opened", "configuration-applied"],
    },
    "no-route": {
        meaning: "no route of the configuration in force matches",
        events: [],
        stateEvent: "configuration-applied",
    },
    "unknown-key": {
        meaning: "no account of the configuration in force has the key",
        events: [],
        stateEvent: "configuration-applied",
    },
    "stopping": { meaning: "refused, has not run: the gateway was stopping", events: ["stopping"] },
    "body-late": { meaning: "refused, has not run: its body did not arrive in time", events: [] },
    "answers-full": {
        meaning: "refused, has not run: callers had not read earlier answers",
        events: ["unread-answer-cut"],
    },
    "fenced": {
        meaning: "refused, has not run: endpoints ended each time that it, or what it carries, ran",
        events: [],
    },
    "endpoint-failed": {
        meaning: "may have run: an endpoint's answer was incomplete, and the request must not be sent again",
        events: ["engine-lost", "engine-order"],
    },
    "timeout": {
        meaning: "may have run: no complete answer before its deadline",
        events: ["engine-lost", "engine-order"],
    },
    "stop-ended": { meaning: "may have run: the gateway stopped and had no time left for it", events: ["stopping"] },
    "caller-behind": { meaning: "the caller did not read its answer", events: [] },
    "caller-gone": { meaning: "the caller disconnected", events: [] },
    "closed-here": { meaning: "the gateway closed its connection before its end", events: ["stopping"] },
};

/** Events that concern only the process that logs them, so that those of other gateways are not causes. */
const PROCESS_EVENTS = [
    "started",
    "stopping",
    "control-link-opened",
    "control-link-closed",
    "configuration-applied",
    "permits-not-granted",
    "endpoint-paused",
];

/** Finds the lines of one request and the lines of other events that explain its end. */
export function explainRequest(lines: LogLine[], requestId: string): RequestExplanation {
    const requestLines = lines.filter(line => line.fields.requestId === requestId).sort(compareTimes);
    const ends = requestLines.filter(line => line.event === EndEvent.Ended || line.event === EndEvent.Refused);
    const attempts = requestLines.filter(line => line.event === "attempt-ended");
    const last = ends.at(-1);
    if (last === undefined) {
        const missing = requestLines.length === 0
            ? "no log line of the request was found"
            : "the end of the request was not found";
        return {
            ends,
            attempts,
            causes: [],
            summary: `${missing}; lines may have been dropped, see log-lines-dropped`,
        };
    }
    const cause = last.fields.cause.replace(/^cut-/, "");
    const explanation = CAUSE_EXPLANATIONS[cause];
    const cutNote = cause === last.fields.cause ? "" : " (the answer had started and was cut off)";
    const meaning = explanation?.meaning ?? "see the gateway's documentation";
    return {
        ends,
        attempts,
        causes: [
            ...findStateLine(lines, last, explanation?.stateEvent),
            ...findQuarantineLines(lines, last),
            ...findCauses(lines, [...attempts, last], explanation?.events ?? []),
        ],
        summary: `status ${last.fields.status}, ${last.fields.cause}: ${meaning}${describeQuarantine(last)}${cutNote}`,
    };
}

/** Finds the newest line of `event` that the answering gateway logged before the end. */
function findStateLine(lines: LogLine[], end: LogLine, event: string | undefined): LogLine[] {
    const newest = lines.filter(line => line.event === event && line.process === end.process && line.atMs <= end.atMs)
        .sort(compareTimes).at(-1);
    return newest === undefined ? [] : [newest];
}

/** Describes what a request was refused for, if it or what it carries is quarantined. */
function describeQuarantine(end: LogLine): string {
    const { quarantined, crashes } = end.fields;
    return quarantined === undefined ? "" : ` (${quarantined} is quarantined after ${crashes} crashes)`;
}

/** Finds the lines in which control quarantined what the request was refused for, regardless of their age. */
function findQuarantineLines(lines: LogLine[], end: LogLine): LogLine[] {
    const { quarantined } = end.fields;
    return lines.filter(line =>
        line.event === "quarantined" && line.atMs <= end.atMs + LOOK_AHEAD_MS
        && `${line.fields.subject} ${line.fields.id}` === quarantined
    ).sort(compareTimes);
}

/** Finds events about the attempted endpoints, and events of the given names, shortly before the end. */
function findCauses(lines: LogLine[], requestLines: LogLine[], events: string[]): LogLine[] {
    const endpoints = new Set(requestLines.flatMap(line => line.fields.endpoint ?? []));
    const addresses = new Set(
        lines.flatMap(line => endpoints.has(line.fields.endpoint) ? line.fields.address ?? [] : []),
    );
    const end = requestLines[requestLines.length - 1];
    const fromMs = requestLines[0].atMs - LOOK_BACK_MS;
    return lines.filter(line => {
        if (line.atMs < fromMs || line.atMs > end.atMs + LOOK_AHEAD_MS || line.fields.requestId !== undefined) {
            return false;
        }
        const isOfEndpoint = endpoints.has(line.fields.endpoint) || addresses.has(line.fields.address);
        const isExplainingEvent = events.includes(line.event)
            && (!PROCESS_EVENTS.includes(line.event) || line.process === end.process);
        return isOfEndpoint || isExplainingEvent;
    }).sort(compareTimes);
}

function compareTimes(left: LogLine, right: LogLine): number {
    return left.atMs - right.atMs;
}
