import type { LogLine } from "./parseLogLine.js";

/** What the lines of all processes tell of one request. */
export interface RequestExplanation {
    /** The final answer: one line for each time that a request with this id ended. */
    ends: LogLine[];
    /** Endpoints tried, in the order in which the attempts ended. */
    attempts: LogLine[];
    /** Lines of other decisions that explain the end, oldest first. */
    causes: LogLine[];
    /** One sentence on the end; says so if no line of the request was found. */
    summary: string;
}

/** Groups that stand still are given up by their engines within this, so causes are not older, in milliseconds. */
const LOOK_BACK_MS = 6000;
/** Clocks of VMs differ, and a sidecar may see a loss after the gateway does, in milliseconds. */
const LOOK_AHEAD_MS = 500;

const EndEvent = { Ended: "request-ended", Refused: "request-refused" } as const;

interface Explanation {
    meaning: string;
    /** Decisions shortly before the end that may have led to it. */
    events: string[];
    /** What the gateway had believed since whenever; only the newest such line before the end counts. */
    belief?: string;
}

/** What each cause of an answer means, and which decisions explain it. */
const EXPLANATIONS: Record<string, Explanation> = {
    "served": { meaning: "an endpoint's answer was delivered", events: [] },
    "no-endpoint": {
        meaning: "refused, has not run: nobody served its model or service",
        events: ["engine-lost", "engine-order", "consensus-role", "control-link-closed"],
    },
    "no-room": {
        meaning: "refused, has not run: no group could have answered in time",
        events: ["engine-lost", "engine-order"],
    },
    "no-configuration": {
        meaning: "refused, has not run: the gateway had no configuration yet",
        events: ["started", "control-link-opened", "control-link-closed", "configuration-applied"],
    },
    "no-route": {
        meaning: "no route of the configuration in force matches",
        events: [],
        belief: "configuration-applied",
    },
    "unknown-key": {
        meaning: "no account of the configuration in force has the key",
        events: [],
        belief: "configuration-applied",
    },
    "stopping": { meaning: "refused, has not run: the gateway was stopping", events: ["stopping"] },
    "body-late": { meaning: "refused, has not run: its body did not arrive in time", events: [] },
    "fenced": { meaning: "refused: engines ended each time that it ran", events: ["request-at-crash"] },
    "endpoint-failed": {
        meaning: "may have run: an endpoint did not answer whole, and it may not be sent again",
        events: ["engine-lost", "engine-order"],
    },
    "timeout": { meaning: "may have run: no answer until its deadline", events: ["engine-lost", "engine-order"] },
    "caller-gone": { meaning: "its caller left", events: [] },
};

/** Events that a single gateway decides for itself: those of other gateways explain nothing. */
const OWN_EVENTS = ["started", "stopping", "control-link-opened", "control-link-closed", "configuration-applied"];

/** Collects the lines of one request, and those of other decisions that explain its end. */
export function explainRequest(lines: LogLine[], requestId: string): RequestExplanation {
    const own = lines.filter(line => line.fields.requestId === requestId).sort(compareTimes);
    const ends = own.filter(line => line.event === EndEvent.Ended || line.event === EndEvent.Refused);
    const attempts = own.filter(line => line.event === "attempt-ended");
    const last = ends.at(-1);
    if (last === undefined) {
        const rest = own.length === 0 ? "no line of it was found" : "its end was not found";
        return { ends, attempts, causes: [], summary: `${rest}; lines may have been dropped, see log-lines-dropped` };
    }
    const name = last.fields.cause.replace(/^cut-/, "");
    const explanation = EXPLANATIONS[name];
    const cut = name === last.fields.cause ? "" : " (the answer had begun and was broken off)";
    const meaning = explanation?.meaning ?? "see the gateway's documentation";
    return {
        ends,
        attempts,
        causes: [
            ...findBelief(lines, last, explanation?.belief),
            ...findCauses(lines, [...attempts, last], explanation?.events ?? []),
        ],
        summary: `status ${last.fields.status}, ${last.fields.cause}: ${meaning}${cut}`,
    };
}

function findBelief(lines: LogLine[], end: LogLine, belief: string | undefined): LogLine[] {
    const newest = lines.filter(line => line.event === belief && line.process === end.process && line.atMs <= end.atMs)
        .sort(compareTimes).at(-1);
    return newest === undefined ? [] : [newest];
}

/** Decisions about the endpoints that were tried, and the kinds of decisions that explain the end, shortly before it. */
function findCauses(lines: LogLine[], told: LogLine[], events: string[]): LogLine[] {
    const endpoints = new Set(told.flatMap(line => line.fields.endpoint ?? []));
    const addresses = new Set(
        lines.flatMap(line => endpoints.has(line.fields.endpoint) ? line.fields.address ?? [] : []),
    );
    const end = told[told.length - 1];
    const fromMs = told[0].atMs - LOOK_BACK_MS;
    return lines.filter(line => {
        if (line.atMs < fromMs || line.atMs > end.atMs + LOOK_AHEAD_MS || line.fields.requestId !== undefined) {
            return false;
        }
        const isOfEndpoint = endpoints.has(line.fields.endpoint) || addresses.has(line.fields.address);
        const isKind = events.includes(line.event)
            && (!OWN_EVENTS.includes(line.event) || line.process === end.process);
        return isOfEndpoint || isKind;
    }).sort(compareTimes);
}

function compareTimes(left: LogLine, right: LogLine): number {
    return left.atMs - right.atMs;
}
