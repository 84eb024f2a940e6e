import { describeError } from "@kumquathall/errors";
import { Kernel, readSettings } from "@kumquathall/kernel";
import { createLogger } from "@kumquathall/logger";
import yargs from "yargs";

/** Exit codes of the daemon. */
export const ExitCode = { Stopped: 0, Failed: 1, BadSettings: 2 } as const;

/** Runs the daemon until SIGTERM, SIGINT or the failure of a role stops it. Resolves with the exit code. */
export async function runDaemon(argv: string[]): Promise<number> {
    const args = await yargs(argv)
        .scriptName("kumquathalld")
        .usage("$0 --settings FILE [--check]")
        .option("settings", { type: "string", demandOption: true, describe: "settings file (JSON)" })
        .option("check", { type: "boolean", default: false, describe: "validate the settings and exit" })
        .example("$0 --settings entry-1.json", "run the roles configured in entry-1.json")
        .strict()
        .parse();
    const settings = readSettings(args.settings);
    if (settings.isLeft()) {
        for (const error of settings.extract() as Error[]) {
            process.stderr.write(`${error.message}\n`);
        }
        return ExitCode.BadSettings;
    }
    if (args.check) {
        process.stdout.write(`${args.settings}: valid\n`);
        return ExitCode.Stopped;
    }
    return runUntilStopped(settings.unsafeCoerce());
}

async function runUntilStopped(settings: Parameters<typeof Kernel.start>[0]["settings"]): Promise<number> {
    const logger = createLogger({ level: settings.logLevel });
    const ended = createDeferred();
    try {
        const kernel = await Kernel.start({
            settings,
            logger,
            onFatal: () => ended.resolve(ExitCode.Failed),
            withProcessMetrics: true,
        });
        // Kernel.stop is idempotent, so a second signal has no effect.
        const stop = () => void kernel.stop().then(() => ended.resolve(ExitCode.Stopped));
        process.on("SIGTERM", stop);
        process.on("SIGINT", stop);
        return await ended.promise;
    }
    catch (error) {
        logger.error("not-started", { message: describeError(error) });
        return ExitCode.Failed;
    }
}

function createDeferred(): { promise: Promise<number>; resolve: (code: number) => void } {
    let resolve: (code: number) => void = () => undefined;
    const promise = new Promise<number>(settle => {
        resolve = settle;
    });
    return { promise, resolve };
}
