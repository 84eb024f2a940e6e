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

const MAX_PORTS_PER_DAEMON = 3;

/** Runs every daemon of a system in the current process, on loopback, with stand-in engines and services. */
export class LocalCluster {
    readonly kernels = new Map<string, Kernel>();

    private constructor(
        readonly plan: ClusterPlan,
        readonly standins: Standins,
        private readonly logger: Logger,
        private readonly temporaryFolder: string | undefined,
    ) {}

    static async start(options: LocalClusterOptions): Promise<LocalCluster> {
        const standins = await startStandins(options.endpoints, options.engine);
        const temporaryFolder = options.folder === undefined ? mkdtempSync(join(tmpdir(), "kumquathall-")) : undefined;
        const daemons = (options.controlMembers ?? 3) + (options.entries ?? 2) + options.endpoints.length;
        const ports = await allocatePorts(daemons * MAX_PORTS_PER_DAEMON);
        const plan = buildClusterPlan({
            ...options,
            folder: options.folder ?? temporaryFolder ?? ".",
            ports,
            engineUrls: standins.urls,
        });
        const logger = options.logger ?? createLogger({ level: options.logLevel ?? "warn" });
        const cluster = new LocalCluster(plan, standins, logger, temporaryFolder);
        for (const settings of [...plan.control, ...plan.entries, ...plan.agents]) {
            await cluster.startDaemon(settings);
        }
        return cluster;
    }

    /** Starts one daemon of the plan, also after it has been stopped. */
    async startDaemon(settings: DaemonSettings): Promise<void> {
        const validated = validateSettings(settings.id, structuredClone(settings));
        if (validated.isLeft()) {
            throw (validated.extract() as Error[])[0];
        }
        const kernel = await Kernel.start({
            settings: validated.unsafeCoerce(),
            logger: this.logger,
            onFatal: error => this.logger.error("daemon-failed", { process: settings.id, message: String(error) }),
        });
        this.kernels.set(settings.id, kernel);
    }

    /** Stops one daemon gracefully. */
    async stopDaemon(id: string): Promise<void> {
        await this.kernels.get(id)?.stop();
        this.kernels.delete(id);
    }

    /** Stops agents, entries and control members, in this order, and deletes temporary data. */
    async close(): Promise<void> {
        const ids = [...this.plan.agents, ...this.plan.entries, ...this.plan.control].map(settings => settings.id);
        for (const role of ["agent", "entry", "control"]) {
            await Promise.all(ids.filter(id => id.startsWith(role)).map(id => this.stopDaemon(id)));
        }
        await this.standins.close();
        if (this.temporaryFolder !== undefined) {
            rmSync(this.temporaryFolder, { recursive: true, force: true });
        }
    }
}
