import { CrashEvidence, formatSubjectKey } from "@kumquathall/crash-evidence";
import { CrashReporter } from "@kumquathall/gateway";
import { AttemptStage, type AttemptStageValue, type CrashEvidenceFact, QuarantineSubject } from "@kumquathall/types";
import { createRandom } from "./random.js";

export interface CrashSimulationOptions {
    seed: number;
    durationMs: number;
    /** Number of endpoints, each the head of a group. */
    endpoints: number;
    /** Sound requests a second. */
    soundPerSecond: number;
    /** Requests with a part that ends endpoints, a second for each part. */
    badPerSecond: number;
    /** Number of parts that end endpoints, from the tenth second on. */
    badParts: number;
    /** Interval at which one request that ends endpoints is sent, in milliseconds; none if 0. */
    resentEveryMs: number;
    /** Interval at which an endpoint ends by itself, in milliseconds; none if 0. */
    lossEveryMs: number;
    /** Number of endpoints that end together in such a loss. */
    endpointsPerLoss: number;
    /** From the tenth second on, requests with the part that a third of the sound requests carry end endpoints. */
    turnsBad: boolean;
    /** Responses begin as a request begins to run, before their first content. */
    sendsHeadFirst: boolean;
}

/** What came of a simulation. */
export interface CrashSimulationResult {
    /** Keys of what was quarantined and had ended no endpoint. */
    wronglyQuarantined: string[];
    /** Ids of the prompt parts that were quarantined. */
    quarantinedParts: string[];
    /** Sends of what ends endpoints that began later than the time for contact after enough crashes, by its name. */
    lateSends: Map<string, number>;
    /** Endpoints ended by what ends them. */
    caused: number;
    /** Largest number of crashes in the evidence. */
    maxStored: number;
}

interface SimulatedRequest {
    fingerprint: string;
    parts: string[];
    gateway: number;
    /** Names of what ends an endpoint as it begins to run this request. */
    bad: string[];
    sendsLeft: number;
    resendsLeft: number;
}

interface Run {
    request: SimulatedRequest;
    sentAt: number;
    beginsAt: number;
    contentAt: number;
    endsAt: number;
}

interface SimulatedEndpoint {
    name: string;
    starts: number;
    upAt: number;
    runs: Run[];
}

const GATEWAYS = 5;
const STEP_MS = 5;
/** Time from its first content within which a request has just begun, and after which it runs, in milliseconds. */
const STARTING_MS = 100;
const RUNNING_AFTER_MS = 300;
const BEGIN_AT_MS = 10_000;
const CONTACT_MS = 3000;
const RESTART_MS = 3000;
/** Time for a sidecar to report a loss, for a message, and for a decision to be replicated and read, in milliseconds. */
const MAX_REPORT_MS = 160;
const MESSAGE_MS = 5;
const APPLY_MS = 250;
const DECIDE_EVERY_MS = 100;
const FIRST_PARTS = 3;
const MIDDLE_PARTS = 200;
const CRASHES_OF_SUBJECT = { part: 5, request: 3 };

/** Simulates endpoints, gateways and one control member, with sound requests and such that end endpoints. */
export class CrashSimulation {
    private readonly random: () => number;
    private readonly evidence: CrashEvidence;
    private readonly quarantined = new Set<string>();
    /** Keys of what has been decided to be quarantined; it takes effect later. */
    private readonly decided = new Set<string>();
    private readonly reporters: CrashReporter[];
    private readonly endpoints: SimulatedEndpoint[];
    private readonly due = new Map<number, (() => void)[]>();
    private readonly causedAt = new Map<string, number[]>();
    private readonly result: CrashSimulationResult = {
        wronglyQuarantined: [],
        quarantinedParts: [],
        lateSends: new Map(),
        caused: 0,
        maxStored: 0,
    };
    private now = 0;
    private requestCount = 0;

    constructor(private readonly options: CrashSimulationOptions) {
        this.random = createRandom(options.seed);
        this.evidence = new CrashEvidence({
            isQuarantined: subject => this.quarantined.has(formatSubjectKey(subject)),
        });
        this.reporters = Array.from({ length: GATEWAYS }, (_, at) =>
            new CrashReporter({
                id: `g${at}`,
                sendAll: facts => this.schedule(MESSAGE_MS, () => this.receiveFacts(facts)),
            }));
        this.endpoints = Array.from({ length: options.endpoints }, (_, at) => ({
            name: `e${at}`,
            starts: 1,
            upAt: 0,
            runs: [],
        }));
    }

    run(): CrashSimulationResult {
        const { durationMs } = this.options;
        for (this.now = 0; this.now < durationMs; this.now += STEP_MS) {
            const callbacks = this.due.get(this.now) ?? [];
            this.due.delete(this.now);
            callbacks.forEach(callback => callback());
            this.sendRequests();
            this.endRandomEndpoints();
            this.endpoints.forEach(endpoint => this.advance(endpoint));
            if (this.now % DECIDE_EVERY_MS === 0) {
                this.decide();
            }
        }
        return this.result;
    }

    private schedule(afterMs: number, callback: () => void): void {
        const at = Math.ceil((this.now + Math.max(STEP_MS, afterMs)) / STEP_MS) * STEP_MS;
        this.due.set(at, [...this.due.get(at) ?? [], callback]);
    }

    private receiveFacts(facts: CrashEvidenceFact[]): void {
        const crashes = facts.filter(fact => {
            if (fact.kind === "survival") {
                this.evidence.recordSurvival(fact, this.now);
                return false;
            }
            return this.evidence.recordCrash(fact, this.now);
        });
        this.result.maxStored = Math.max(this.result.maxStored, this.evidence.countCrashes());
        if (crashes.length > 0) {
            const forward = () => this.reporters.forEach(reporter => reporter.recordFacts(crashes, this.now));
            this.schedule(MESSAGE_MS, forward);
        }
    }

    private decide(): void {
        for (const verdict of this.evidence.decide(this.now)) {
            const key = formatSubjectKey(verdict);
            if (this.decided.has(key)) {
                continue;
            }
            this.decided.add(key);
            this.schedule(APPLY_MS, () => this.quarantined.add(key));
            if (verdict.subject === QuarantineSubject.PromptPart) {
                this.result.quarantinedParts.push(verdict.id);
            }
            if (!this.causedAt.has(verdict.id)) {
                this.result.wronglyQuarantined.push(key);
            }
        }
    }

    private sendRequests(): void {
        const { soundPerSecond, badPerSecond, badParts, resentEveryMs, turnsBad } = this.options;
        if (this.isDue(soundPerSecond)) {
            this.send(this.createRequest([]));
        }
        if (this.now < BEGIN_AT_MS) {
            return;
        }
        for (let part = 0; part < badParts; part++) {
            if (this.isDue(badPerSecond)) {
                this.send(this.createRequest([`bad${part}`]));
            }
        }
        if (resentEveryMs > 0 && this.now % resentEveryMs === 0) {
            const request = this.createRequest([]);
            this.send({ ...request, fingerprint: "bad-request", bad: ["bad-request"] });
        }
        if (turnsBad && this.isDue(badPerSecond)) {
            this.send(this.createRequest([]));
        }
    }

    private isDue(perSecond: number): boolean {
        return this.random() < perSecond * STEP_MS / 1000;
    }

    private createRequest(bad: string[]): SimulatedRequest {
        // A few middle parts are in many requests, most of them in few.
        const middle = Math.floor(MIDDLE_PARTS * this.random() ** 3);
        const first = Math.floor(this.random() * FIRST_PARTS);
        const isBadNow = this.options.turnsBad && this.now >= BEGIN_AT_MS && first === 0;
        return {
            fingerprint: `r${++this.requestCount}`,
            parts: [`first${first}`, ...bad, `middle${middle}`],
            gateway: Math.floor(this.random() * GATEWAYS),
            bad: isBadNow ? ["first0"] : bad,
            sendsLeft: 2,
            resendsLeft: 1,
        };
    }

    private isRefused(request: SimulatedRequest): boolean {
        const keys = [
            formatSubjectKey({ subject: QuarantineSubject.Request, id: request.fingerprint }),
            ...request.parts.map(id => formatSubjectKey({ subject: QuarantineSubject.PromptPart, id })),
        ];
        return keys.some(key => this.quarantined.has(key));
    }

    private send(request: SimulatedRequest): void {
        const up = this.endpoints.filter(endpoint => endpoint.upAt <= this.now);
        if (up.length === 0 || request.sendsLeft === 0 || this.isRefused(request)) {
            return;
        }
        request.sendsLeft--;
        const endpoint = up.reduce((left, right) => right.runs.length < left.runs.length ? right : left);
        const beginsAt = this.now + 100 + this.random() * 200;
        const contentAt = beginsAt + 50 + this.random() * 50;
        const endsAt = contentAt + 150 + this.random() * 1500;
        endpoint.runs.push({ request, sentAt: this.now, beginsAt, contentAt, endsAt });
        request.bad.forEach(name => this.countLateSend(name));
    }

    private countLateSend(name: string): void {
        const needed = name === "bad-request" ? CRASHES_OF_SUBJECT.request : CRASHES_OF_SUBJECT.part;
        const last = this.causedAt.get(name)?.[needed - 1];
        if (last !== undefined && this.now > last + CONTACT_MS) {
            this.result.lateSends.set(name, (this.result.lateSends.get(name) ?? 0) + 1);
        }
    }

    private advance(endpoint: SimulatedEndpoint): void {
        const begun = endpoint.runs.find(run => run.request.bad.length > 0 && run.beginsAt + 70 <= this.now);
        if (begun !== undefined) {
            this.result.caused++;
            begun.request.bad.forEach(name => this.causedAt.set(name, [...this.causedAt.get(name) ?? [], this.now]));
            this.causedAt.set(begun.request.fingerprint, [this.now]);
            this.endProcess(endpoint);
            return;
        }
        const ended = endpoint.runs.filter(run => run.endsAt <= this.now);
        endpoint.runs = endpoint.runs.filter(run => run.endsAt > this.now);
        for (const { request } of ended) {
            this.reporters[request.gateway].reportSurvival(request.parts, () => request, this.now);
        }
    }

    private computeStage(run: Run): AttemptStageValue {
        const contentMs = this.now - run.contentAt;
        if (this.options.sendsHeadFirst && this.now >= run.beginsAt && contentMs < STARTING_MS) {
            return AttemptStage.Starting;
        }
        return contentMs < RUNNING_AFTER_MS ? AttemptStage.Unknown : AttemptStage.Running;
    }

    private endRandomEndpoints(): void {
        const { lossEveryMs, endpointsPerLoss } = this.options;
        if (lossEveryMs > 0 && this.now > 0 && this.now % lossEveryMs === 0) {
            const first = Math.floor(this.random() * this.endpoints.length);
            for (let at = 0; at < endpointsPerLoss; at++) {
                const endpoint = this.endpoints[(first + at) % this.endpoints.length];
                if (endpoint.upAt <= this.now) {
                    this.endProcess(endpoint);
                }
            }
        }
    }

    private endProcess(endpoint: SimulatedEndpoint): void {
        const { runs, name, starts } = endpoint;
        const at = this.now;
        endpoint.runs = [];
        endpoint.upAt = at + RESTART_MS;
        endpoint.starts++;
        const reportMs = this.random() * MAX_REPORT_MS;
        for (const [gateway, reporter] of this.reporters.entries()) {
            const requests = runs.filter(run => run.request.gateway === gateway)
                .map(run => ({
                    fingerprint: run.request.fingerprint,
                    parts: run.request.parts,
                    sentBeforeMs: at - run.sentAt,
                    stage: this.computeStage(run),
                }));
            if (requests.length > 0) {
                const crash = { endpoint: `${name}@${starts}`, service: "writer", at, requests };
                this.schedule(reportMs, () => reporter.reportCrash(crash, this.now));
            }
        }
        runs.forEach(({ request }) => this.sendAgain(request));
    }

    /** Sends a request to another endpoint, and lets its caller send it once more if that was not possible. */
    private sendAgain(request: SimulatedRequest): void {
        if (request.sendsLeft > 0) {
            this.send(request);
        }
        else if (request.resendsLeft > 0) {
            const gateway = Math.floor(this.random() * GATEWAYS);
            const resent = { ...request, gateway, sendsLeft: 2, resendsLeft: request.resendsLeft - 1 };
            this.schedule(100 + this.random() * 400, () => this.send(resent));
        }
    }
}
