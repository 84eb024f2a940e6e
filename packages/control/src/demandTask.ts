import type { ConsensusRuntime } from "@kumquathall/consensus";
import { DemandBoard } from "@kumquathall/demand";
import { RebalanceHistory, ShareSelector } from "@kumquathall/engine-groups";
import { castToAll, type Link } from "@kumquathall/link";
import type { InputFaultLog, Logger } from "@kumquathall/logger";
import type { Command, CommandResult, EngineProfile, ModelDemandCast, TrafficService } from "@kumquathall/types";
import { Gauge, type Registry } from "prom-client";

export interface DemandTaskOptions {
    runtime: Pick<ConsensusRuntime<Command, CommandResult>, "canServe" | "getState">;
    logger: Logger;
    faults: InputFaultLog;
    metrics: Registry;
}

/** What the plan of a service is made with. */
export interface DemandPlan {
    /** The declared profile, with the shares in use. */
    profile: EngineProfile;
    /** State of rebalances by measured shares or for an evacuation; `undefined` while only the declared shares apply. */
    rebalances: RebalanceHistory | undefined;
}

export interface DemandPlanInput {
    service: TrafficService;
    engine: EngineProfile;
    /** Number of the service's endpoints. */
    endpoints: number;
    /** A data centre with endpoints of the service is evacuated. */
    isEvacuating: boolean;
    /** Local monotonic milliseconds. */
    now: number;
}

interface ServiceDemand {
    selector: ShareSelector;
    rebalances: RebalanceHistory;
}

const TOTALS_INTERVAL_MS = 1000;

/**
 * Records what gateways report of the work that callers offer. Every member does so; the leader chooses the shares of
 * models by it, and sends the totals to gateways.
 */
export class DemandTask {
    private readonly board = new DemandBoard();
    private readonly watchers = new Set<Link>();
    private readonly services = new Map<string, ServiceDemand>();
    /** Term in which shares were chosen. */
    private term: number | undefined;
    private readonly timer: NodeJS.Timeout;
    private readonly shareGauge: Gauge<"service" | "model">;

    constructor(private readonly options: DemandTaskOptions) {
        this.timer = setInterval(() => this.castTotals(performance.now()), TOTALS_INTERVAL_MS);
        this.shareGauge = new Gauge({
            name: "kumquathall_control_model_share",
            help: "Share of a service's work by which the leader plans a model's groups, while it is the measured one",
            labelNames: ["service", "model"],
            registers: [options.metrics],
        });
    }

    /** Records a gateway's report; one that can't be used is dropped and logged. */
    record(report: ModelDemandCast, link: Link): void {
        const writer = link.peer?.id ?? "";
        const reason = this.board.record(writer, report, performance.now());
        if (reason !== undefined) {
            this.options.faults.record({ kind: "model-demand", reason, writer });
        }
    }

    /** Chooses the shares with which the leader plans a service, and how it dissolves groups. */
    choosePlan({ service, engine, endpoints, isEvacuating, now }: DemandPlanInput): DemandPlan {
        const { term } = this.options.runtime.getState().hardState;
        if (term !== this.term) {
            this.term = term;
            this.services.clear();
        }
        const known = this.services.get(service.name)
            ?? { selector: new ShareSelector(), rebalances: new RebalanceHistory() };
        this.services.set(service.name, known);
        const measured = this.board.computeShares(service.name, engine, now);
        const choice = known.selector.select({ profile: engine, measured, endpoints, now });
        if (choice.hasChanged) {
            this.recordChange(service.name, choice.profile, choice.isMeasured);
        }
        return {
            profile: choice.profile,
            rebalances: choice.isMeasured || isEvacuating ? known.rebalances : undefined,
        };
    }

    /** Sends totals to a gateway from now on, while this member leads. */
    watch(link: Link): void {
        this.watchers.add(link);
    }

    removeLink(link: Link): void {
        this.watchers.delete(link);
    }

    close(): void {
        clearInterval(this.timer);
    }

    private castTotals(now: number): void {
        if (!this.options.runtime.canServe()) {
            this.shareGauge.reset();
            return;
        }
        const items = this.board.listTotals(now);
        if (items.length > 0) {
            castToAll([...this.watchers], { kind: "demandTotals", items });
        }
    }

    private recordChange(service: string, { models }: EngineProfile, isMeasured: boolean): void {
        const shares = models.map(model => `${model.name}:${model.share.toFixed(3)}`).join();
        this.options.logger.info("model-shares-changed", { service, shares, measured: isMeasured });
        models.forEach(model => this.shareGauge.set({ service, model: model.name }, model.share));
    }
}
