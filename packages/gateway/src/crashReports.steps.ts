import { Before, Given, Then, When } from "@cucumber/cucumber";
import { createLogger } from "@kumquathall/logger";
import {
    AttemptStage,
    type CrashedRequest,
    type CrashEvidenceFact,
    type EndpointFact,
    QuarantineSubject,
    type QuarantineSubjectValue,
} from "@kumquathall/types";
import { deepStrictEqual, notStrictEqual, strictEqual } from "node:assert";
import { CrashReporter } from "./crashReporter.js";
import { type BrokenAttempt, EndpointTracker, type SentRequest, type TrackedEndpoint } from "./endpointTracker.js";
import { computeFingerprint } from "./fingerprint.js";
import { describeQuarantine, QuarantineList } from "./quarantineList.js";

const CHECK_MS = 100;
const logger = createLogger({ write: () => undefined });

let tracker: EndpointTracker;
let endpoint: TrackedEndpoint;
let quarantine: QuarantineList;
let reporter: CrashReporter;
let sent: CrashEvidenceFact[] = [];
let revision = 0;
let observations = 0;

function listNames(text: string): string[] {
    return text.split(", ");
}

function buildHeartbeat(sequence: number, isLeaving = false, id = "e", bornMs = 100): EndpointFact {
    return {
        kind: "heartbeat",
        id,
        service: "s",
        address: "h:1",
        dataCentre: "d",
        slots: 4,
        isLeaving,
        bornMs,
        sequence,
        engine: undefined,
    };
}

function buildObservation(bornMs: number, isReachable: boolean, observerStartedMs = 1): EndpointFact {
    return {
        kind: "observation",
        address: "h:1",
        observerStartedMs,
        number: ++observations,
        isReachable,
        bornMs,
        engine: undefined,
    };
}

function buildSent(fingerprint: string, sentAt: number): SentRequest {
    return {
        sentAt,
        promptTokens: 0,
        hasStarted: false,
        headAt: undefined,
        firstContentAt: undefined,
        describe: () => ({ fingerprint, parts: [] }),
        onLost: () => undefined,
        onClosed: () => undefined,
    };
}

function buildBroken(fingerprint: string, at: number): BrokenAttempt {
    return {
        at,
        progress: { sentAt: at, headAt: undefined, firstContentAt: undefined },
        request: { fingerprint, parts: [] },
    };
}

function record(...facts: EndpointFact[]): void {
    tracker.record(facts, performance.now());
}

function openTracker(isRefusing: boolean): void {
    tracker = new EndpointTracker({
        getService: () => undefined,
        logger,
        onCrash: crash => reporter.reportCrash(crash, performance.now()),
        isRefusing: () => Promise.resolve(isRefusing),
    });
    record(buildHeartbeat(1));
}

Before({ tags: "@crash-reports" }, () => {
    sent = [];
    revision = 0;
    reporter = new CrashReporter({ id: "g", sendAll: facts => sent.push(...facts) });
    quarantine = new QuarantineList(logger);
});

Given(
    "an endpoint that runs the request {string}, and on which {string} broke off {int} ms and {string} {int} ms ago",
    (waiting: string, early: string, earlyMs: number, late: string, lateMs: number) => {
        openTracker(false);
        record(buildObservation(100, true));
        endpoint = tracker.listPlainEndpoints("s", performance.now())[0];
        endpoint.inFlight.add(buildSent(waiting, 0));
        const now = performance.now();
        endpoint.broken = [
            buildBroken(early, now - earlyMs),
            buildBroken(late, now - lateMs),
        ];
    },
);

When("its process ends", () => record(buildObservation(100, false)));

When("a new process replaces it", () => record(buildObservation(300, true)));

When("a new process sends a heartbeat first", () => {
    record(buildHeartbeat(1, false, "f", 300));
    record(buildObservation(300, true));
});

When("it announces its leaving, and then ends", () => {
    record(buildHeartbeat(2, true));
    record(buildObservation(100, false));
});

When("it departs, and then ends", () => {
    record({ kind: "departure", id: "e", bornMs: 100 });
    record(buildObservation(100, false));
});

When("its VM restarts", () => {
    record(buildObservation(0, false, 2));
    record(buildObservation(300, true, 2));
});

When("its sidecar is not heard of", () => undefined);

Given("an endpoint without a sidecar that {word} connections", (answer: string) => {
    openTracker(answer === "refuses");
    endpoint = tracker.listPlainEndpoints("s", performance.now())[0];
});

When("the request {string} breaks off there", async (fingerprint: string) => {
    tracker.recordBrokenAttempt(endpoint, buildSent(fingerprint, performance.now()));
    await new Promise(resolve => setTimeout(resolve, CHECK_MS));
});

When("{int} requests break off there", (count: number) => {
    for (let at = 0; at < count; at++) {
        tracker.recordBrokenAttempt(endpoint, buildSent(`r${at}`, performance.now()));
    }
});

Then("traits of {int} of them are kept, and not the requests themselves", (count: number) => {
    strictEqual(endpoint.broken.length, count);
    endpoint.broken.forEach(attempt => deepStrictEqual(Object.keys(attempt).sort(), ["at", "progress", "request"]));
    const functions = endpoint.broken.filter(({ progress }) => Object.values(progress).some(isFunction));
    strictEqual(functions.length, 0);
});

function isFunction(value: unknown): boolean {
    return typeof value === "function";
}

Then("a crash is reported with the requests {string}", (names: string) => {
    const reported = sent.flatMap(fact => fact.kind === "crash" ? fact.requests.map(item => item.fingerprint) : []);
    deepStrictEqual(reported, names === "none" ? [] : listNames(names));
});

function applyRecord(
    fingerprint: string,
    crashes: number | undefined,
    subject: QuarantineSubjectValue = QuarantineSubject.Request,
): void {
    const crashed = Array.from({ length: crashes ?? 0 }, (_, at) => `e${at}@1`);
    const suspect = { fingerprint, subject, service: "s", crashes: crashed, quarantined: true };
    const value = crashes === undefined ? undefined : { kind: "suspect" as const, suspect };
    const change = { key: `trafficQuarantine/${subject}/${fingerprint}`, revision: ++revision, value };
    quarantine.apply({ since: revision - 1, revision, isSnapshot: false, changes: [change] });
}

Given(
    "the gateway has read that the request {string} is quarantined after {int} crashes",
    (id: string, count: number) => {
        applyRecord(id, count);
    },
);

Given(
    "the gateway has read that the prompt part {string} is quarantined after {int} crashes",
    (id: string, count: number) => applyRecord(id, count, QuarantineSubject.PromptPart),
);

Then("a request with the prompt parts {string} is refused with {string}", (parts: string, text: string) => {
    const found = quarantine.findPart(listNames(parts));
    strictEqual(found === undefined ? undefined : describeQuarantine(found), text);
    strictEqual(quarantine.findRecord(listNames(parts), () => "own"), found);
});

Then("a request with the prompt parts {string} is not refused", (parts: string) => {
    strictEqual(quarantine.findRecord(listNames(parts), () => "own"), undefined);
});

Given("a request with the prompt parts {string} has run to its end", (text: string) => {
    const parts = listNames(text);
    reporter.reportSurvival(parts, () => ({ fingerprint: "own", parts }), performance.now());
});

When("a crash is known with a request that has the prompt parts {string}", (text: string) => {
    const requests = [buildCrashed("other", listNames(text))];
    const fact = { kind: "crash" as const, endpoint: "e@1", service: "s", reporter: "g2", ageMs: 0, requests };
    reporter.recordFacts([fact], performance.now());
});

When("the gateway has read that the request {string} is released", (fingerprint: string) => {
    applyRecord(fingerprint, undefined);
});

Then("the request {string} is refused with {string}", (fingerprint: string, text: string) => {
    const found = quarantine.findRecord([], () => fingerprint);
    strictEqual(found === undefined ? undefined : describeQuarantine(found), text);
});

Then("the request {string} is not refused", (fingerprint: string) => {
    strictEqual(quarantine.findRecord([], () => fingerprint), undefined);
});

Then("requests of the same account, method, path and body have the same fingerprint, and all others another", () => {
    const compute = (account: string, method: string, path: string, body: string) =>
        computeFingerprint(account, method, path, Buffer.from(body));
    const fingerprint = compute("a", "POST", "/p", "b");
    strictEqual(compute("a", "POST", "/p", "b"), fingerprint);
    const others = [
        compute("x", "POST", "/p", "b"),
        compute("a", "PUT", "/p", "b"),
        compute("a", "POST", "/q", "b"),
        compute("a", "POST", "/p", "c"),
    ];
    others.forEach(other => notStrictEqual(other, fingerprint));
});

function buildCrashed(fingerprint: string, parts: string[] = []): CrashedRequest {
    return { fingerprint, sentBeforeMs: 0, parts, stage: AttemptStage.Unknown };
}

function recordCrashFact(names: string): void {
    const requests = listNames(names).map(name => buildCrashed(name));
    reporter.recordFacts(
        [{ kind: "crash", endpoint: "e@1", service: "s", reporter: "g2", ageMs: 0, requests }],
        performance.now(),
    );
}

Given("a gateway that knows of a crash with the requests {string}", recordCrashFact);

When("another crash is known with the requests {string}", recordCrashFact);

When("the requests {string} run to their end", (names: string) => {
    listNames(names).forEach(fingerprint =>
        reporter.reportSurvival([], () => ({ fingerprint, parts: [] }), performance.now())
    );
});

Then("survivals are reported of {string}", (names: string) => {
    deepStrictEqual(sent.flatMap(fact => fact.kind === "survival" ? fact.id : []), listNames(names));
});

Given("a gateway that has reported {int} crashes", (count: number) => {
    for (let at = 0; at < count; at++) {
        reporter.reportCrash({
            endpoint: `e${at}@1`,
            service: "s",
            at: 0,
            requests: [buildCrashed("f")],
        }, at);
    }
});

Then("a linked member gets {int} reports, the newest last", (count: number) => {
    const reports = reporter.listReports(100);
    strictEqual(reports.length, count);
    strictEqual(reports.at(-1)?.endpoint, "e39@1");
});
