import { KumquathallError } from "@kumquathall/errors";
import type { Logger } from "@kumquathall/logger";
import { collectDefaultMetrics, Registry } from "prom-client";
import type { DaemonSettings } from "./daemonSettings.js";
import { OperationsServer } from "./operationsServer.js";
import type { RoleContext, RunningRole } from "./plugin.js";
import { getRolePlugin } from "./registry.js";
import { TlsFiles } from "./tlsFiles.js";

export interface KernelOptions {
    settings: DaemonSettings;
    logger: Logger;
    /** Called when a role can no longer keep its promises: the process must end. */
    onFatal: (error: unknown) => void;
    /** Process-wide metrics, only for the first kernel of a process. */
    withProcessMetrics?: boolean;
}

/** Interval at which the delay of the event loop is sampled, in milliseconds. */
const EVENT_LOOP_PRECISION_MS = 1000;

/** Runs the roles of one settings file. */
export class Kernel {
    private readonly roles: RunningRole[] = [];
    private readonly metrics = new Registry();
    private operations: OperationsServer | undefined;
    private tlsFiles: TlsFiles | undefined;
    private stopping: Promise<void> | undefined;

    private constructor(private readonly options: KernelOptions) {}

    /** Starts all roles; if one fails to start, those started before are closed and the error is thrown. */
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

    /** Stops gracefully. A second call waits for the first and changes nothing. */
    stop(): Promise<void> {
        this.stopping ??= this.drainAndClose();
        return this.stopping;
    }

    private async startRoles(): Promise<void> {
        const { settings, logger, onFatal } = this.options;
        if (this.options.withProcessMetrics === true) {
            // The default precision wakes an idle process a hundred times a second.
            collectDefaultMetrics({ register: this.metrics, eventLoopMonitoringPrecision: EVENT_LOOP_PRECISION_MS });
        }
        this.tlsFiles = settings.tls === undefined ? undefined : new TlsFiles(settings.tls, logger);
        const tlsFiles = this.tlsFiles;
        for (const [name, roleSettings] of Object.entries(settings.roles)) {
            const plugin = getRolePlugin(name);
            if (plugin === undefined) {
                throw new KumquathallError(`no role "${name}" is registered`);
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
        await Promise.all(this.roles.map(role => role.drain()));
        await this.close();
        this.options.logger.info("stopped", { process: this.options.settings.id });
    }

    private async close(): Promise<void> {
        for (const role of [...this.roles].reverse()) {
            await role.close();
        }
        await this.operations?.close();
        this.tlsFiles?.close();
    }
}
