import { ControlDirectory } from "@kumquathall/control-directory";
import { isColdTimeChanged } from "@kumquathall/endpoint-registry";
import { describeError } from "@kumquathall/errors";
import {
    createIdentity,
    createInputFaultLog,
    createLinkFaultHandler,
    type RoleContext,
    type RunningRole,
} from "@kumquathall/kernel";
import type { Link } from "@kumquathall/link";
import { EngineGroupState, type EngineStatus, type ObservationFact, type OrderMessage } from "@kumquathall/types";
import { type EngineClient, EngineUnreachableError } from "./engineClient.js";

export interface SidecarSettings {
    /** Address (host:port) that the engine announces in its heartbeats. */
    engineAddress: string;
    /** Addresses at which control members listen for links. */
    seeds: string[];
}

/** Interval at which the engine's report is read, in milliseconds: a lost member is detected within two intervals. */
const POLL_MS = 150;
/** Interval at which an unchanged state is reported, in milliseconds; control treats older reports as stale. */
const REFRESH_MS = 1000;
/** Links carry a message at least every second; a link without one for three seconds counts as lost. */
const LINK_HEARTBEAT_MS = 1000;
const LINK_TIMEOUT_MS = 3000;
/** Interval at which the list of control members is refreshed, in milliseconds: it changes rarely. */
const MEMBERS_REFRESH_MS = 4000;
/** Number of consecutive refused connections after which the engine counts as lost. */
const REFUSALS_FOR_LOSS = 1;

/** Role that watches one engine, reports its state to control members and forwards their orders to it. */
export class SidecarRole implements RunningRole {
    private readonly directory: ControlDirectory;
    private readonly startedMs = Date.now();
    /** Sequence number of the latest report. */
    private number = 0;
    private bornMs = 0;
    /** The engine has responded or refused a connection since this process started. */
    private hasRead = false;
    private isReachable = false;
    private refusals = 0;
    private lastSentState = "";
    private lastSentAt = Number.NEGATIVE_INFINITY;
    private isPolling = false;
    private isClosed = false;
    private status: EngineStatus | undefined;
    /** Cold time that the newest report of the engine named, in milliseconds; 0 if none. */
    private coldMs = 0;
    /** Local monotonic time at which that cold time ends, in milliseconds. */
    private coldUntil = Number.NEGATIVE_INFINITY;
    /** Number of times that a cold time has begun, been renewed or ended. */
    private coldChanges = 0;
    private readonly timer: NodeJS.Timeout;

    private constructor(
        private readonly context: RoleContext,
        private readonly settings: SidecarSettings,
        private readonly engine: EngineClient,
    ) {
        this.directory = new ControlDirectory({
            identity: createIdentity(context, "sidecar", settings.engineAddress),
            seeds: settings.seeds,
            handlers: {
                onOpen: link => this.reportTo(link),
                onCast: message => void this.forwardOrder(message as OrderMessage),
                onFault: createLinkFaultHandler(createInputFaultLog(context)),
            },
            logger: context.logger,
            heartbeatMs: LINK_HEARTBEAT_MS,
            silenceMs: LINK_TIMEOUT_MS,
            refreshMs: MEMBERS_REFRESH_MS,
        });
        this.timer = setInterval(() => void this.poll(), POLL_MS);
        void this.poll();
    }

    static start(context: RoleContext, settings: SidecarSettings, engine: EngineClient): SidecarRole {
        return new SidecarRole(context, settings, engine);
    }

    setSeeds(seeds: string[]): void {
        this.directory.setSeeds(seeds);
    }

    isReady(): boolean {
        return true;
    }

    drain(): Promise<void> {
        return Promise.resolve();
    }

    close(): Promise<void> {
        this.isClosed = true;
        clearInterval(this.timer);
        this.directory.close();
        this.engine.close();
        return Promise.resolve();
    }

    private async poll(): Promise<void> {
        if (this.isPolling || this.isClosed) {
            return;
        }
        this.isPolling = true;
        try {
            const report = await this.engine.readReport();
            this.refusals = 0;
            this.setColdTime(report.coldMs ?? 0);
            this.setEngineState(true, report.bornMs, report.status);
        }
        catch (error) {
            if (error instanceof EngineUnreachableError) {
                this.refusals++;
                if (this.refusals >= REFUSALS_FOR_LOSS) {
                    // The last known status identifies the group that lost this member.
                    this.setEngineState(false, this.bornMs, this.status);
                }
            }
            else {
                this.context.logger.warn("engine-report-failed", { message: describeError(error) });
            }
        }
        this.isPolling = false;
        this.report();
    }

    private setEngineState(isReachable: boolean, bornMs: number, status: EngineStatus | undefined): void {
        if (this.isReachable !== isReachable || this.bornMs !== bornMs) {
            this.context.logger.info(isReachable ? "engine-up" : "engine-lost", {
                address: this.settings.engineAddress,
                bornMs,
            });
        }
        this.hasRead = true;
        this.isReachable = isReachable;
        this.bornMs = bornMs;
        this.status = status;
    }

    private setColdTime(coldMs: number): void {
        if (isColdTimeChanged(this.coldMs, coldMs)) {
            this.coldChanges++;
        }
        this.coldMs = coldMs;
        this.coldUntil = performance.now() + coldMs;
    }

    private reportTo(link: Link): void {
        if (this.hasRead) {
            link.cast({ kind: "endpointFacts", facts: [this.buildFact()] });
        }
    }

    /** Reports what differs from the last report. Before the first read, what control knows holds. */
    private report(): void {
        if (!this.hasRead) {
            return;
        }
        const state = JSON.stringify([this.isReachable, this.bornMs, this.coldChanges, this.selectReported()]);
        const now = performance.now();
        if (state === this.lastSentState && now - this.lastSentAt < REFRESH_MS) {
            return;
        }
        this.lastSentState = state;
        this.lastSentAt = now;
        this.number++;
        this.directory.castAll({ kind: "endpointFacts", facts: [this.buildFact()] });
    }

    /** Selects what is reported as soon as it differs. Load is that of the group, which only its head reports. */
    private selectReported(): EngineStatus | undefined {
        const isOpenHead = this.status?.group?.rank === 0 && this.status.group.state === EngineGroupState.Open;
        if (this.status === undefined || isOpenHead) {
            return this.status;
        }
        return { ...this.status, running: 0, waiting: 0, kvUsedTokens: 0 };
    }

    private buildFact(): ObservationFact {
        const coldMs = Math.max(0, this.coldUntil - performance.now());
        return {
            kind: "observation",
            address: this.settings.engineAddress,
            observerStartedMs: this.startedMs,
            number: this.number,
            isReachable: this.isReachable,
            bornMs: this.bornMs,
            engine: this.status,
            ...(coldMs === 0 ? {} : { coldMs }),
        };
    }

    private async forwardOrder(message: OrderMessage): Promise<void> {
        if (message.kind !== "order" || message.bornMs !== this.bornMs) {
            return;
        }
        const { order } = message;
        try {
            const result = await this.engine.sendOrder(order);
            this.context.logger.info("engine-order-carried", {
                order: order.kind,
                group: "group" in order ? order.group : undefined,
                epoch: "epoch" in order ? order.epoch : undefined,
                sequence: order.expectedSequence,
                status: result.status,
                isAccepted: result.isAccepted,
            });
        }
        catch (error) {
            // The engine may still execute the order; its next report shows whether it did.
            this.context.logger.warn("engine-order-unanswered", { order: order.kind, message: describeError(error) });
        }
        await this.poll();
    }
}
