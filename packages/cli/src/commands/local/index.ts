import { DEMO_ENDPOINTS, LocalCluster, publishFolder, waitUntil } from "@kumquathall/local-cluster";
import { ExitCode } from "../../exitCode.js";
import { printLine } from "../../print.js";

export interface LocalArgs {
    folder: string | undefined;
}

const START_TIMEOUT_MS = 20_000;

/** Runs all roles and stand-in engines in this process on loopback until SIGINT or SIGTERM. Returns the exit code. */
export async function runLocal(args: LocalArgs): Promise<number> {
    const cluster = await LocalCluster.start({ endpoints: DEMO_ENDPOINTS });
    try {
        await waitUntil(
            "a ready entry",
            START_TIMEOUT_MS,
            async () => (await fetch(`${cluster.plan.entryUrls[0]}/ready`)).status === 200,
        );
        if (args.folder !== undefined) {
            const outcomes = await publishFolder(args.folder, cluster.plan.entryUrls);
            printLine(`published ${outcomes.length} services from ${args.folder}`);
        }
        cluster.plan.entryUrls.forEach(url => printLine(`entry: ${url} (status page: ${url}/status)`));
        printLine("stop with Ctrl-C");
        await new Promise<void>(resolve => {
            process.once("SIGINT", () => resolve());
            process.once("SIGTERM", () => resolve());
        });
    }
    finally {
        await cluster.close();
    }
    return ExitCode.Done;
}
