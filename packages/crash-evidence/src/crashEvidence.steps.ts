import { Before, Given, Then, When } from "@cucumber/cucumber";
import { AttemptStage, type CrashedRequest, type CrashFact, QuarantineSubject } from "@kumquathall/types";
import { deepStrictEqual, strictEqual } from "node:assert";
import { CrashEvidence } from "./crashEvidence.js";

const SETTLED_MS = 1000;
const DEFAULT_SENT_BEFORE_MS = 100;

let evidence: CrashEvidence;
let quarantined: Set<string>;
let now = 0;
let endpoints = 0;
let facts: CrashFact[] = [];

function listNames(text: string): string[] {
    return text === "" ? [] : text.split(", ");
}

/** Builds a request from `NAME` or, with prompt parts, `NAME:PART+PART`; `!` marks one whose response had just begun. */
function buildRequest(name: string, sentBeforeMs: number): CrashedRequest {
    const [fingerprint, parts = ""] = name.replace("!", "").split(":");
    const stage = name.endsWith("!") ? AttemptStage.Starting : AttemptStage.Unknown;
    return { fingerprint, sentBeforeMs, parts: parts === "" ? [] : parts.split("+"), stage };
}

function recordCrash(names: string[], endpoint: string, reporter = "g1", sentBeforeMs = DEFAULT_SENT_BEFORE_MS): void {
    const requests = names.map(name => buildRequest(name, sentBeforeMs));
    const fact: CrashFact = { kind: "crash", endpoint, service: "writer", reporter, ageMs: 0, requests };
    evidence.recordCrash(fact, now);
    facts.push(fact);
}

function decide(): void {
    evidence.decide(now).forEach(verdict => quarantined.add(verdict.id));
}

Before({ tags: "@crash-evidence" }, () => {
    quarantined = new Set();
    evidence = new CrashEvidence({ isQuarantined: subject => quarantined.has(subject.id) });
    now = 0;
    endpoints = 0;
    facts = [];
});

Given("the requests {string} ran at {int} crashes, one every {int} ms", (names: string, count: number, ms: number) => {
    for (let crash = 0; crash < count; crash++) {
        now += ms;
        recordCrash(listNames(names), `e${++endpoints}@1`);
    }
});

Given(
    "the requests {string} were sent {int} ms before they ran at {int} crashes, one every {int} ms",
    (names: string, sentBeforeMs: number, count: number, ms: number) => {
        for (let crash = 0; crash < count; crash++) {
            now += ms;
            recordCrash(listNames(names), `e${++endpoints}@1`, "g1", sentBeforeMs);
        }
    },
);

Given("{string} ran at the crashes of these endpoints, in turn: {string}", (name: string, names: string) => {
    for (const endpoint of listNames(names)) {
        now += SETTLED_MS;
        recordCrash([name], endpoint);
    }
});

function countCrashesOf(fingerprint: string): number {
    return evidence.listFacts(now).filter(fact => fact.requests.some(item => item.fingerprint === fingerprint)).length;
}

Then(
    "{string} ran at {int} stored crashes and {string} at {int}",
    (first: string, count: number, second: string, secondCount: number) => {
        strictEqual(countCrashesOf(first), count);
        strictEqual(countCrashesOf(second), secondCount);
    },
);

Given("each crash is reported again by another gateway", () => {
    facts.slice().forEach(fact => evidence.recordCrash({ ...fact, reporter: "g2" }, now));
});

Given("each crash is reported by another gateway with the requests {string}", (names: string) => {
    facts.slice().forEach(fact => recordCrash(listNames(names), fact.endpoint, "g2"));
});

Given(/^"(\w+)" has run to its end$/, (id: string) => {
    now += SETTLED_MS;
    evidence.recordSurvival({ kind: "survival", subject: QuarantineSubject.Request, id, ageMs: 0 }, now);
});

/** Records crashes given as `"REQUEST, REQUEST", "REQUEST"`, one list of requests for each crash. */
Given(/^these run at crashes, one every (\d+) ms: (.+)$/, (ms: string, lists: string) => {
    for (const [, names] of lists.matchAll(/"([^"]*)"/g)) {
        now += Number(ms);
        recordCrash(listNames(names), `e${++endpoints}@1`);
    }
});

Given(/^"prompt-part (\w+)" has run to its end(?: (\d+) ms ago)?$/, (id: string, ageMs?: string) => {
    now += ageMs === undefined ? SETTLED_MS : 0;
    const subject = QuarantineSubject.PromptPart;
    evidence.recordSurvival({ kind: "survival", subject, id, ageMs: Number(ageMs ?? 0) }, now);
});

When("{string} is released", (id: string) => {
    quarantined.delete(id);
    evidence.forget({ subject: QuarantineSubject.Request, id });
});

Then("the evidence leads to the quarantine of {string}", (names: string) => {
    now += SETTLED_MS;
    decide();
    deepStrictEqual([...quarantined].sort(), listNames(names));
});

Then("nothing is quarantined {int} ms after the last crash", (ms: number) => {
    now += ms;
    decide();
    strictEqual(quarantined.size, 0);
});

Given("{int} crashes with {int} requests each", (crashes: number, requests: number) => {
    for (let crash = 0; crash < crashes; crash++) {
        now++;
        recordCrash(Array.from({ length: requests }, (_, at) => `${crash}-${at}`), `e${crash}@1`);
    }
});

Then("{int} crashes are stored", (count: number) => strictEqual(evidence.countCrashes(), count));

Then("{int} crashes are stored with {int} requests each", (crashes: number, requests: number) => {
    deepStrictEqual(evidence.listFacts(now).map(fact => fact.requests.length), Array(crashes).fill(requests));
});
