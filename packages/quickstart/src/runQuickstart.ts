import {
    allocatePorts,
    buildClusterPlan,
    type ClusterPlan,
    DEMO_ENDPOINTS,
    DEMO_KEYS,
    DEMO_OPERATOR_KEY,
    ProcessCluster,
    publishFolder,
    type Standins,
    startStandins,
    waitUntil,
} from "@kumquathall/local-cluster";
import { OperatorClient } from "@kumquathall/operator-client";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { showRequests } from "./showRequests.js";

export interface QuickstartOptions {
    /** Stops the system after the demonstration; otherwise it runs until a signal. */
    isOnce: boolean;
}

const EXAMPLES = fileURLToPath(new URL("../../../examples", import.meta.url));
const PORT_COUNT = 64;
const START_TIMEOUT_MS = 30_000;
const DECLARED_GROUPS = 3;

/** Starts a system, demonstrates it and stops it. Returns the exit code. */
export async function runQuickstart(options: QuickstartOptions): Promise<number> {
    const folder = mkdtempSync(join(tmpdir(), "kumquathall-quickstart-"));
    const standins = await startStandins(DEMO_ENDPOINTS);
    const plan = buildClusterPlan({
        folder: join(folder, "data"),
        ports: await allocatePorts(PORT_COUNT),
        endpoints: DEMO_ENDPOINTS,
        engineUrls: standins.urls,
        logLevel: "info",
    });
    const cluster = new ProcessCluster({ plan, folder: join(folder, "processes") });
    let code = 1;
    try {
        cluster.startAll();
        printLine(
            `started ${plan.control.length} control members, ${plan.entries.length} entries and ${plan.agents.length} agents; logs in ${folder}`,
        );
        code = await runDemonstration(plan, standins);
        if (!options.isOnce) {
            printAddresses(plan);
            await waitForSignal();
        }
    }
    catch (error) {
        printLine(`failed: ${String(error)}; logs in ${folder}`);
        cluster.killAll();
        await standins.close();
        return 1;
    }
    const failed = await cluster.stopAll();
    await standins.close();
    if (failed.length > 0) {
        printLine(`processes that did not exit with code 0: ${failed.join(", ")}; logs in ${folder}`);
        return 1;
    }
    rmSync(folder, { recursive: true, force: true });
    printLine("stopped cleanly");
    return code;
}

async function runDemonstration(plan: ClusterPlan, standins: Standins): Promise<number> {
    for (const url of plan.entryUrls) {
        await waitUntil(`${url} is ready`, START_TIMEOUT_MS, async () => await readStatus(`${url}/ready`) === 200);
    }
    const outcomes = await publishFolder(EXAMPLES, plan.entryUrls);
    printLine(
        `published ${
            outcomes.map(({ step }) => `${step.definition.institution}/${step.definition.service}`).join(", ")
        }`,
    );
    const client = new OperatorClient({ entryUrls: plan.entryUrls, key: DEMO_OPERATOR_KEY });
    await waitUntil("replica groups serve", START_TIMEOUT_MS, async () => {
        const { groups } = await client.readConfiguration();
        return groups.filter(group => group.state === "serving").length >= DECLARED_GROUPS;
    });
    printLine(`${DECLARED_GROUPS} replica groups are serving`);
    return await showRequests(plan.entryUrls, standins, printLine) ? 0 : 1;
}

async function readStatus(url: string): Promise<number> {
    try {
        return (await fetch(url)).status;
    }
    catch {
        return 0;
    }
}

function printAddresses(plan: ClusterPlan): void {
    printLine("");
    printLine("Try it:");
    printLine(`  curl -N ${plan.entryUrls[0]}/v1/chat/completions -H "authorization: Bearer ${DEMO_KEYS.cantora}" \\`);
    printLine(
        '    -d \'{"model":"tonewood","stream":true,"messages":[{"role":"user","content":"tap tone of billet 7"}]}\'',
    );
    printLine(
        `  KUMQUATHALL_ENTRY=${
            plan.entryUrls[0]
        } KUMQUATHALL_KEY=${DEMO_OPERATOR_KEY} node packages/cli/dist/main.js status`,
    );
    printLine(`  status page: ${plan.entryUrls[0]}/status`);
    printLine("Stop with Ctrl-C.");
}

function waitForSignal(): Promise<void> {
    return new Promise(resolve => {
        process.once("SIGINT", () => resolve());
        process.once("SIGTERM", () => resolve());
    });
}

function printLine(text: string): void {
    process.stdout.write(`${text}\n`);
}
