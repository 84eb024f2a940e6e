import {
    allocatePorts,
    buildClusterPlan,
    type ClusterPlan,
    DEMO_OPERATOR_KEY,
    type PlannedEndpoint,
    ProcessCluster,
    publishFolder,
    waitUntil,
} from "@kumquathall/local-cluster";
import { OperatorClient } from "@kumquathall/operator-client";
import type { EngineOptions } from "@kumquathall/standin-engine";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** A system under test, in which every role and every stand-in engine runs in its own process. */
export interface BenchSystem {
    plan: ClusterPlan;
    cluster: ProcessCluster;
    client: OperatorClient;
    /** URLs of the stand-in engines, by VM. */
    engineUrls: Map<string, string>;
    close: () => Promise<void>;
}

export interface BenchSystemOptions {
    endpoints: PlannedEndpoint[];
    entries: number;
    controlMembers: number;
    engine: EngineOptions;
    /** Service definitions, by file name without the suffix `.service.json`. */
    services: Record<string, object>;
    /** Number of replica groups that must serve before the system counts as started. */
    groups: number;
}

const START_TIMEOUT_MS = 30_000;
const PORTS = 96;

/** Starts a system, publishes its services and waits until their groups serve. */
export async function startBenchSystem(options: BenchSystemOptions): Promise<BenchSystem> {
    const folder = mkdtempSync(join(tmpdir(), "kumquathall-bench-"));
    const engines: ChildProcess[] = [];
    const engineUrls = new Map<string, string>();
    for (const endpoint of options.endpoints) {
        const engine = await startEngine({ ...options.engine, fencing: endpoint.fencing });
        engines.push(engine.child);
        engineUrls.set(endpoint.vm, engine.url);
    }
    const plan = buildClusterPlan({
        ...options,
        folder: join(folder, "data"),
        ports: await allocatePorts(PORTS),
        engineUrls,
    });
    const cluster = new ProcessCluster({ plan, folder: join(folder, "processes"), nodeArguments: readNodeArguments() });
    cluster.startAll();
    const client = new OperatorClient({ entryUrls: plan.entryUrls, key: DEMO_OPERATOR_KEY });
    const services = join(folder, "services");
    mkdirSync(services);
    for (const [name, content] of Object.entries(options.services)) {
        writeFileSync(join(services, `${name}.service.json`), JSON.stringify(content));
    }
    await waitUntil(
        "entries are ready",
        START_TIMEOUT_MS,
        async () => (await Promise.all(plan.entryUrls.map(readStatus))).every(status => status === 200),
    );
    await publishFolder(services, plan.entryUrls);
    await waitUntil(
        "groups serve",
        START_TIMEOUT_MS,
        async () =>
            (await client.readConfiguration()).groups.filter(group => group.state === "serving").length
                >= options.groups,
    );
    const close = async () => {
        await cluster.stopAll();
        engines.forEach(engine => engine.kill("SIGKILL"));
        rmSync(folder, { recursive: true, force: true });
    };
    return { plan, cluster, client, engineUrls, close };
}

/** Reads the Node.js arguments of the measured processes from KUMQUATHALL_BENCH_NODE, for example to profile them. */
function readNodeArguments(): string[] {
    return (process.env.KUMQUATHALL_BENCH_NODE ?? "").split(" ").filter(argument => argument !== "");
}

async function readStatus(url: string): Promise<number> {
    try {
        return (await fetch(`${url}/ready`)).status;
    }
    catch {
        return 0;
    }
}

async function startEngine(options: EngineOptions): Promise<{ child: ChildProcess; url: string }> {
    const main = createRequire(import.meta.url).resolve("@kumquathall/standin-engine").replace(/index\.js$/, "main.js");
    const child = spawn(process.execPath, [main, JSON.stringify(options)], { stdio: ["ignore", "pipe", "inherit"] });
    const url = await new Promise<string>(resolve =>
        child.stdout.once("data", (data: Buffer) => resolve(data.toString("utf8").trim()))
    );
    return { child, url };
}
