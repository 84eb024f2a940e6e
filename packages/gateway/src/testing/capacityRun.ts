import { CapacitySharing } from "@kumquathall/capacity-sharing";
import { estimateServiceMs, type GroupLoad } from "@kumquathall/engine-model";
import { createLogger } from "@kumquathall/logger";
import { type EngineProfile, RequestKind, type TrafficRoute } from "@kumquathall/types";
import { Gauge } from "prom-client";
import { CapacityReporter } from "../capacityReporter.js";
import { chooseReplicaGroup } from "../chooseReplicaGroup.js";
import { FirstEventBiasEstimator } from "../firstEventBiasEstimator.js";
import { RequestShare } from "../requestShare.js";
import { SimulatedGroup } from "./simulatedGroup.js";

/** The requests of a class. */
export interface SimulatedClass {
    priority: number;
    objectiveMs: number;
    /** Part of the capacity that its requests use, at a time in milliseconds. */
    getLoad: (now: number) => number;
    /** Chooses an account's name by a random number in [0, 1). */
    chooseAccount: (random: number) => string;
}

export interface CapacityRunOptions {
    profile: EngineProfile;
    classes: SimulatedClass[];
    gateways: number;
    groups: number;
    /** Number of groups that serve from `loseAt` on. */
    groupsLeft: number;
    loseAt: number;
    durationMs: number;
    /** Admission by rank and account; otherwise by the predicted first event only. */
    isShared: boolean;
    /** Gateways receive the demand over all of them. */
    hasTotals: boolean;
    /** Fraction of the callers that return at the time they are told. The others return soon. */
    obedience: number;
    random: () => number;
}

export interface SimulatedRequest {
    priority: number;
    account: string;
    promptTokens: number;
    answerTokens: number;
    arrivedAt: number;
    refusals: number;
    isServed: boolean;
    isOnTime: boolean;
}

interface SimulatedGateway {
    sharing: CapacitySharing;
    /** Own requests by group, and those sent and ended after its report. */
    groups: { inFlight: number; pendingTokens: number; sentSince: number; endedSince: number }[];
    offeredMs: number;
    bias: FirstEventBiasEstimator;
}

const STEP_MS = 5;
const REPORT_MS = 150;
const REPORT_PHASE_MS = 35;
const TOTALS_MS = 1000;
/** Least weight of the latest second in the totals that control sends. */
const TOTALS_WEIGHT = 0.2;
const TIMEOUT_MS = 20_000;
const LATE_PRIORITY = 8;
const SERVICE = "s";

/** Runs several gateways and replica groups of one model in virtual time; returns all requests. */
export class CapacityRun {
    private readonly groups: SimulatedGroup[];
    private readonly gateways: SimulatedGateway[];
    private readonly requests: SimulatedRequest[] = [];
    private readonly reporter: CapacityReporter;
    readonly lines: string[] = [];
    private readonly reports: GroupLoad[] = [];
    private returns: { at: number; request: SimulatedRequest; from: SimulatedClass }[] = [];
    private totalMs = 0;

    constructor(private readonly options: CapacityRunOptions) {
        const { profile, gateways, groups } = options;
        this.groups = Array.from({ length: groups }, () => new SimulatedGroup(profile, profile.models[0]));
        this.gateways = Array.from({ length: gateways }, () => ({
            sharing: new CapacitySharing({ countGateways: () => gateways }),
            groups: this.groups.map(() => ({ inFlight: 0, pendingTokens: 0, sentSince: 0, endedSince: 0 })),
            offeredMs: 0,
            bias: new FirstEventBiasEstimator(),
        }));
        const admittedFraction = new Gauge({
            name: "fraction",
            help: "-",
            labelNames: ["service", "model", "rank"] as const,
            registers: [],
        });
        this.reporter = new CapacityReporter({
            logger: createLogger({ write: line => this.lines.push(line) }),
            admittedFraction,
        });
    }

    run(): SimulatedRequest[] {
        const { durationMs, profile, groups, groupsLeft, loseAt, classes, random } = this.options;
        const [model] = profile.models;
        const meanMs = estimateServiceMs(profile, model, profile.usualPromptTokens, profile.usualAnswerTokens);
        for (let now = 0; now < durationMs + TIMEOUT_MS; now += STEP_MS) {
            if (now === loseAt) {
                this.groups.length = groupsLeft;
            }
            this.groups.forEach(group => group.advance(now));
            this.groups.forEach((_, at) => this.sendReport(at, now));
            if (now % TOTALS_MS === 0) {
                this.sendTotals(now);
            }
            for (const item of now < durationMs ? classes : []) {
                const expected = item.getLoad(now) * groups * STEP_MS / meanMs;
                for (let left = expected + random(); left >= 1; left--) {
                    this.receive(this.createRequest(item, now), item, now);
                }
            }
            const due = this.returns.filter(({ at }) => at <= now);
            this.returns = this.returns.filter(({ at }) => at > now);
            due.forEach(({ request, from }) => this.receive(request, from, now));
        }
        return this.requests;
    }

    private createRequest(from: SimulatedClass, now: number): SimulatedRequest {
        const { random, profile } = this.options;
        // Sizes between a fifth and five times the usual ones; the mean of both factors is 1.
        const createFactor = () => 0.2 / 0.4 * (0.2 + 4.8 * random() ** 9) / 0.34;
        const request = {
            priority: from.priority,
            account: from.chooseAccount(random()),
            promptTokens: Math.ceil(profile.usualPromptTokens * createFactor()),
            answerTokens: Math.ceil(profile.usualAnswerTokens * createFactor()),
            arrivedAt: now,
            refusals: 0,
            isServed: false,
            isOnTime: false,
        };
        this.requests.push(request);
        return request;
    }

    /** Lets a random gateway decide on a request. */
    private receive(request: SimulatedRequest, from: SimulatedClass, now: number): void {
        const { random, profile, isShared } = this.options;
        const [model] = profile.models;
        const gateway = this.gateways[Math.floor(random() * this.gateways.length)];
        const ageMs = now - request.arrivedAt;
        const { promptTokens, answerTokens } = request;
        const workMs = estimateServiceMs(profile, model, promptTokens, answerTokens) * model.groupSize;
        gateway.offeredMs += ageMs === 0 ? workMs : 0;
        const times = { now, timeToObjectiveMs: from.objectiveMs - ageMs, timeToAbandonmentMs: 2000 };
        const share = isShared ? this.createShare(gateway, request, from, now) : undefined;
        const choice = chooseReplicaGroup({
            profile,
            model,
            promptTokens,
            candidates: this.groups.map((_, at) => (
                { endpointId: String(at), load: this.estimateLoad(gateway, at), failureScore: 0 }
            )),
            firstEventBiasMs: gateway.bias.get(model.name),
            ...times,
            random: random(),
            decide: share === undefined ? undefined : prediction => share.decide(prediction, times),
        });
        if (choice.kind === "send") {
            this.send(request, from, gateway, choice, now);
        }
        else if (choice.kind === "refuse") {
            const leftMs = TIMEOUT_MS - ageMs;
            const toldMs = share?.scheduleReturn(choice, leftMs, now) ?? choice.retryAfterMs;
            share?.report(now);
            this.refuse(request, from, now, toldMs, leftMs);
        }
    }

    private refuse(
        request: SimulatedRequest,
        from: SimulatedClass,
        now: number,
        toldMs: number,
        leftMs: number,
    ): void {
        const { random, obedience } = this.options;
        request.refusals++;
        const returnMs = random() < obedience ? toldMs : 150 + 150 * random();
        if (returnMs < leftMs) {
            this.returns.push({ at: now + returnMs, request, from });
        }
    }

    private createShare(
        { sharing }: SimulatedGateway,
        request: SimulatedRequest,
        { priority, objectiveMs }: SimulatedClass,
        now: number,
    ): RequestShare {
        const { profile, random } = this.options;
        const head = {
            requestId: undefined,
            deadlineMs: undefined,
            key: undefined,
            model: profile.models[0].name,
            promptTokens: request.promptTokens,
            promptParts: [],
            maxAnswerTokens: undefined,
            answerTokensHint: request.answerTokens,
            lastEventId: undefined,
        };
        const account = { name: request.account, keys: [], priority: undefined };
        const options = { sharing, reporter: this.reporter, service: SERVICE, head, account, random };
        const ageMs = now - request.arrivedAt;
        const route = buildRoute(priority, objectiveMs);
        return new RequestShare({ ...options, route, ageMs }, profile, profile.models[0], now);
    }

    private send(
        request: SimulatedRequest,
        { objectiveMs, priority }: SimulatedClass,
        gateway: SimulatedGateway,
        choice: { endpointId: string; predictedMs: number; isOnTime: boolean },
        sentAt: number,
    ): void {
        const { bias } = gateway;
        const model = this.options.profile.models[0].name;
        const predictedMs = choice.predictedMs - bias.get(model);
        const at = Number(choice.endpointId);
        const own = gateway.groups[at];
        own.inFlight++;
        own.sentSince++;
        own.pendingTokens += request.promptTokens;
        this.groups[at].waiting.push({
            promptTokens: request.promptTokens,
            answerTokens: request.answerTokens,
            priority: choice.isOnTime ? priority : LATE_PRIORITY,
            onFirstEvent: now => {
                own.pendingTokens -= request.promptTokens;
                bias.record(model, predictedMs, now - sentAt);
                request.isOnTime = now - request.arrivedAt <= objectiveMs;
            },
            onEnd: () => {
                own.inFlight--;
                own.endedSince++;
                request.isServed = true;
            },
        });
    }

    private estimateLoad(gateway: SimulatedGateway, at: number): GroupLoad {
        const { running, waiting: reported, kvUsedTokens } = this.reports[at];
        const { inFlight, pendingTokens, sentSince, endedSince } = gateway.groups[at];
        const total = Math.max(inFlight, running + reported + sentSince - endedSince);
        const waiting = Math.min(total, reported + sentSince);
        return { running: total - waiting, waiting, pendingPrefillTokens: pendingTokens, kvUsedTokens, pace: 1 };
    }

    /** Sends a group's report to all gateways if one is due; groups report at different times. */
    private sendReport(at: number, now: number): void {
        const isDue = (now + at * REPORT_PHASE_MS) % REPORT_MS === 0;
        if (!isDue && this.reports[at] !== undefined) {
            return;
        }
        this.reports[at] = this.groups[at].report();
        this.gateways.forEach(({ groups }) => Object.assign(groups[at], { sentSince: 0, endedSince: 0 }));
    }

    private sendTotals(now: number): void {
        const offeredMs = this.gateways.reduce((sum, gateway) => sum + gateway.offeredMs, 0);
        this.gateways.forEach(gateway => gateway.offeredMs = 0);
        this.totalMs += (offeredMs - this.totalMs) * Math.max(TOTALS_WEIGHT, 1 / Math.max(1, now / TOTALS_MS));
        const items = [{
            service: SERVICE,
            model: this.options.profile.models[0].name,
            workMs: this.totalMs,
            requests: 0,
        }];
        if (this.options.hasTotals) {
            this.gateways.forEach(gateway => gateway.sharing.recordTotals(items, now));
        }
    }
}

function buildRoute(priority: number, objectiveMs: number): TrafficRoute {
    return {
        name: String(priority),
        host: "h",
        pathPrefix: "/",
        kind: RequestKind.Streaming,
        timeoutMs: TIMEOUT_MS,
        objectiveMs,
        gapObjectiveMs: undefined,
        priority,
        targets: [],
        maxEndpoints: 2,
        isPublic: true,
        isResumable: true,
    };
}
