import { KumquathallError } from "@kumquathall/errors";
import type { DaemonSettings } from "@kumquathall/kernel";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdirSync, openSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { join } from "node:path";
import type { ClusterPlan } from "./clusterPlan.js";

export interface ProcessClusterOptions {
    plan: ClusterPlan;
    /** Folder for settings files and logs. */
    folder: string;
    /** Command-line options of Node.js, for example `--cpu-prof`. */
    nodeArguments?: string[];
}

/** Runs each daemon of a plan as a kumquathalld process, for demonstrations and measurements on one machine. */
export class ProcessCluster {
    private readonly children = new Map<string, ChildProcess>();

    constructor(private readonly options: ProcessClusterOptions) {
        mkdirSync(options.folder, { recursive: true });
    }

    /** Starts every process of the plan. */
    startAll(): void {
        const { plan } = this.options;
        [...plan.control, ...plan.entries, ...plan.agents].forEach(settings => this.start(settings));
    }

    /** Writes the settings file of one process and starts it. */
    start(settings: DaemonSettings): void {
        const file = join(this.options.folder, `${settings.id}.json`);
        writeFileSync(file, JSON.stringify(settings, undefined, 4));
        const log = openSync(join(this.options.folder, `${settings.id}.log`), "a");
        const main = createRequire(import.meta.url).resolve("@kumquathall/daemon").replace(/index\.js$/, "main.js");
        const child = spawn(process.execPath, [...this.options.nodeArguments ?? [], main, "--settings", file], {
            stdio: ["ignore", log, log],
        });
        this.children.set(settings.id, child);
    }

    /** Sends a signal to one process. */
    signal(id: string, signal: NodeJS.Signals): void {
        const child = this.children.get(id);
        if (child === undefined) {
            throw new KumquathallError(`no process with id "${id}" has been started`);
        }
        child.kill(signal);
    }

    /** Operating-system process id, for measurements. */
    getPid(id: string): number | undefined {
        return this.children.get(id)?.pid;
    }

    /** Waits until a process has exited. Returns its exit code, or `undefined` if a signal ended it. */
    async waitForExit(id: string): Promise<number | undefined> {
        const child = this.children.get(id);
        if (child !== undefined && child.exitCode === null && child.signalCode === null) {
            await new Promise(resolve => child.once("exit", resolve));
        }
        this.children.delete(id);
        return child?.exitCode ?? undefined;
    }

    /** Stops agents, entries and control members, in this order. Returns the ids that did not exit with code 0. */
    async stopAll(): Promise<string[]> {
        const failed: string[] = [];
        for (const role of ["agent", "entry", "control"]) {
            const ids = [...this.children.keys()].filter(id => id.startsWith(role));
            ids.forEach(id => this.signal(id, "SIGTERM"));
            for (const id of ids) {
                const code = await this.waitForExit(id);
                if (code !== 0) {
                    failed.push(id);
                }
            }
        }
        return failed;
    }

    /** Kills all processes with SIGKILL. */
    killAll(): void {
        this.children.forEach(child => child.kill("SIGKILL"));
    }
}
