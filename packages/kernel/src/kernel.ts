import { describeError, KumquathallError } from "@kumquathall/errors";
import type { Logger } from "@kumquathall/logger";
import { collectDefaultMetrics, Registry } from "prom-client";
import type { DaemonSettings } from "./daemonSettings.js";
import { OperationsServer } from "./operationsServer.js";
import type { RoleContext, RunningRole } from "./plugin.js";
import { getRolePlugin } from "./registry.js";
import { StallMonitor } from "./stallMonitor.js";
import { TlsFiles } from "./tlsFiles.js";

export interface KernelOptions {
    settings: DaemonSettings;
    logger: Logger;
    /** Called when a role has failed and can no longer operate correctly; the process must then exit. */
    onFatal: (error: unknown) => void;
    /** Whether to collect the process-wide metrics; only one kernel of a process may. */
    withProcessMetrics?: boolean;
}

/** Sampling interval of the event loop delay, in milliseconds. */
const EVENT_LOOP_PRECISION_MS = 1000;

/** Starts and stops the roles of one settings file. */
export class Kernel {
    private readonly roles: RunningRole[] = [];
    private readonly metrics = new Registry();
    private operations: OperationsServer | undefined;
    private tlsFiles: TlsFiles | undefined;
    private stallMonitor: StallMonitor | undefined;
    private stopping: Promise<void> | undefined;

    private constructor(private readonly options: KernelOptions) {}

    /** Starts all roles. If one fails to start, the roles already started are closed and the error is rethrown. */
    static async start(options: KernelOptions): Promise<Kernel> {
        const kernel = new Kernel(options);
        try {
            await kernel.startRoles();
        }
        catch (error) {
            await kernel.close();
            throw error;
        }
        return kernel;
    }

    /** Whether every role is ready and the process is not stopping. */
    isReady(): boolean {
        return this.stopping === undefined && this.roles.every(role => role.isReady());
    }

    /** Counts the work that is lost if the process ends now, by kind. */
    countInFlight(): Record<string, number> {
        return Object.fromEntries(this.roles.flatMap(role => Object.entries(role.countInFlight?.() ?? {})));
    }

    /** Stops gracefully. Further calls wait for the first to finish. */
    stop(): Promise<void> {
        this.stopping ??= this.drainAndClose();
        return this.stopping;
    }

    private async startRoles(): Promise<void> {
        const { settings, logger, onFatal } = this.options;
        if (this.options.withProcessMetrics === true) {
            // At the default precision, the sampling timer fires a hundred times a second even in an idle process.
            collectDefaultMetrics({ register: this.metrics, eventLoopMonitoringPrecision: EVENT_LOOP_PRECISION_MS });
            this.stallMonitor = new StallMonitor({ logger, metrics: this.metrics });
        }
        this.tlsFiles = settings.tls === undefined ? undefined : new TlsFiles(settings.tls, logger);
        const tlsFiles = this.tlsFiles;
        for (const [name, roleSettings] of Object.entries(settings.roles)) {
            const plugin = getRolePlugin(name);
            if (plugin === undefined) {
                throw new KumquathallError(`role "${name}" is not registered; import the package that provides it`);
            }
            const context: RoleContext = {
                settings,
                logger: logger.with({ process: settings.id, role: name }),
                metrics: this.metrics,
                tls: tlsFiles === undefined ? undefined : () => tlsFiles.getMaterial(),
                fail: onFatal,
            };
            this.roles.push(await plugin.start(context, roleSettings));
            logger.info("role-started", { process: settings.id, role: name });
        }
        if (settings.operations !== undefined) {
            this.operations = await OperationsServer.listen(settings.operations, this.metrics, () => this.isReady());
        }
    }

    private async drainAndClose(): Promise<void> {
        this.options.logger.info("stopping", { process: this.options.settings.id });
        await Promise.all(this.roles.map(role => this.completeStep("drain", () => role.drain())));
        await this.close();
        this.options.logger.info("stopped", { process: this.options.settings.id });
    }

    /** Completes a step of a role's stop. One that fails is logged, so that the other roles still complete their work. */
    private async completeStep(step: string, run: () => Promise<void>): Promise<void> {
        try {
            await run();
        }
        catch (error) {
            const { logger, settings } = this.options;
            logger.error("role-not-stopped", { process: settings.id, step, message: describeError(error) });
        }
    }

    private async close(): Promise<void> {
        for (const role of [...this.roles].reverse()) {
            await this.completeStep("close", () => role.close());
        }
        await this.operations?.close();
        this.tlsFiles?.close();
        this.stallMonitor?.close();
    }
}
