import "@kumquathall/daemon";
import { type DaemonSettings, Kernel, validateSettings } from "@kumquathall/kernel";
import { createLogger, type Logger } from "@kumquathall/logger";
import type { EngineOptions } from "@kumquathall/standin-engine";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { allocatePorts } from "./allocatePorts.js";
import { buildClusterPlan, type ClusterPlan, type ClusterPlanOptions, type PlannedEndpoint } from "./clusterPlan.js";
import { type Standins, startStandins } from "./standins.js";

export interface LocalClusterOptions extends Partial<Omit<ClusterPlanOptions, "ports" | "engineUrls" | "endpoints">> {
    endpoints: PlannedEndpoint[];
    engine?: EngineOptions;
    logger?: Logger;
}

const PORTS_PER_PROCESS = 3;

/** Every role in this process, on loopback, against stand-ins. */
export class LocalCluster {
    readonly kernels = new Map<string, Kernel>();

    private constructor(
        readonly plan: ClusterPlan,
        readonly standins: Standins,
        private readonly logger: Logger,
        private readonly ownFolder: string | undefined,
    ) {}

    static async start(options: LocalClusterOptions): Promise<LocalCluster> {
        const standins = await startStandins(options.endpoints, options.engine);
        const ownFolder = options.folder === undefined ? mkdtempSync(join(tmpdir(), "kumquathall-")) : undefined;
        const processes = (options.controlMembers ?? 3) + (options.entries ?? 2) + options.endpoints.length;
        const ports = await allocatePorts(processes * PORTS_PER_PROCESS);
        const plan = buildClusterPlan({
            ...options,
            folder: options.folder ?? ownFolder ?? ".",
            ports,
            engineUrls: standins.urls,
        });
        const logger = options.logger ?? createLogger({ level: options.logLevel ?? "warn" });
        const cluster = new LocalCluster(plan, standins, logger, ownFolder);
        for (const settings of [...plan.control, ...plan.entries, ...plan.agents]) {
            await cluster.startProcess(settings);
        }
        return cluster;
    }

    /** Starts one process of the plan, or starts it again. */
    async startProcess(settings: DaemonSettings): Promise<void> {
        const checked = validateSettings(settings.id, structuredClone(settings));
        if (checked.isLeft()) {
            throw (checked.extract() as Error[])[0];
        }
        const kernel = await Kernel.start({
            settings: checked.unsafeCoerce(),
            logger: this.logger,
            onFatal: error => this.logger.error("process-ended", { process: settings.id, message: String(error) }),
        });
        this.kernels.set(settings.id, kernel);
    }

    /** Stops one process gracefully. */
    async stopProcess(id: string): Promise<void> {
        await this.kernels.get(id)?.stop();
        this.kernels.delete(id);
    }

    /** Stops agents, entries and control members, in this order. */
    async close(): Promise<void> {
        const ids = [...this.plan.agents, ...this.plan.entries, ...this.plan.control].map(settings => settings.id);
        for (const role of ["agent", "entry", "control"]) {
            await Promise.all(ids.filter(id => id.startsWith(role)).map(id => this.stopProcess(id)));
        }
        await this.standins.close();
        if (this.ownFolder !== undefined) {
            rmSync(this.ownFolder, { recursive: true, force: true });
        }
    }
}
