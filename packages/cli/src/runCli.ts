import { describeError } from "@kumquathall/errors";
import { OperatorClientError } from "@kumquathall/operator-client";
import yargs, { type Argv } from "yargs";
import { runAudit } from "./commands/audit/index.js";
import { runData } from "./commands/data/index.js";
import { runDrain } from "./commands/drain/index.js";
import { runEndpoints } from "./commands/endpoints/index.js";
import { runExplain } from "./commands/explain/index.js";
import { runGroups } from "./commands/groups/index.js";
import { runKeyDigest } from "./commands/key/index.js";
import { runLoadCommand } from "./commands/load/index.js";
import { runLocal } from "./commands/local/index.js";
import { runPublish } from "./commands/publish/index.js";
import { runQuarantine } from "./commands/quarantine/index.js";
import { runReport } from "./commands/report/index.js";
import { runServices } from "./commands/services/index.js";
import { runStatus } from "./commands/status/index.js";
import { runValidate } from "./commands/validate/index.js";
import { addConnectionOptions } from "./context.js";
import { ExitCode } from "./exitCode.js";

const DRAIN_TARGETS = ["vm", "domain", "data-centre"] as const;
const DEFAULT_AUDIT_LIMIT = 50;

/** Parses the arguments and runs one command. Resolves with the exit code. */
export async function runCli(argv: string[]): Promise<number> {
    let exitCode: number = ExitCode.Done;
    const setExitCode = async (result: Promise<number> | number) => {
        exitCode = await result;
    };
    const parser = yargs(argv).scriptName("kumquathall").usage("$0 COMMAND").strict().demandCommand(1, "give a command")
        .exitProcess(false);
    addFileCommands(parser, setExitCode);
    addViewCommands(parser, setExitCode);
    addChangeCommands(parser, setExitCode);
    addMeasureCommands(parser, setExitCode);
    parser
        .completion("completion", "print a completion script for the shell")
        .epilogue("Exit codes: 0 done, 1 failed, 2 invalid files or arguments, 3 refused by the system.")
        .wrap(110)
        .fail((message, error) => {
            throw error ?? new UsageError(message);
        });
    try {
        await parser.parseAsync();
    }
    catch (error) {
        process.stderr.write(`${describeError(error)}\n`);
        return error instanceof UsageError ? ExitCode.Invalid : toExitCode(error);
    }
    return exitCode;
}

/** An error in the command line arguments. */
class UsageError extends Error {}

type SetExitCode = (result: Promise<number> | number) => Promise<void>;

function toExitCode(error: unknown): number {
    const refusals = ["forbidden", "unauthorized", "invalid-change", "version-conflict"];
    return error instanceof OperatorClientError && refusals.includes(error.code) ? ExitCode.Refused : ExitCode.Failed;
}

function addFileCommands(parser: Argv, setExitCode: SetExitCode): void {
    parser
        .command(
            "validate <folder>",
            "validate the service files below a folder",
            command =>
                command.positional("folder", { type: "string", demandOption: true }).option("json", {
                    type: "boolean",
                    default: false,
                })
                    .example("$0 validate services/", "list all errors of all files"),
            args => setExitCode(runValidate(args)),
        )
        .command(
            "publish <folder>",
            "publish the service files below a folder",
            command =>
                addConnectionOptions(command.positional("folder", { type: "string", demandOption: true }))
                    .option("dry-run", {
                        type: "boolean",
                        default: false,
                        describe: "print the plan without applying it",
                    })
                    .example("$0 publish services/ --dry-run", "show what would change"),
            args => setExitCode(runPublish(args)),
        )
        .command(
            "data <action> <folder>",
            "inspect or verify a control member's data folder",
            command =>
                command.positional("action", { choices: ["inspect", "verify"] as const, demandOption: true })
                    .positional("folder", { type: "string", demandOption: true }).option("json", {
                        type: "boolean",
                        default: false,
                    })
                    .example("$0 data verify /var/lib/kumquathall", "verify all checksums"),
            args => setExitCode(runData(args)),
        )
        .command(
            "key",
            "print the SHA-256 digest of a key read from standard input",
            {},
            () => setExitCode(runKeyDigest()),
        )
        .command(
            "local [folder]",
            "run all roles and stand-in engines in one local process",
            command =>
                command.positional("folder", { type: "string", describe: "service files to publish" }).example(
                    "$0 local examples/",
                    "start a local system with the example services",
                ),
            args => setExitCode(runLocal(args)),
        );
}

function addViewCommands(parser: Argv, setExitCode: SetExitCode): void {
    parser
        .command(
            "status",
            "show group downtime, stranded accelerators and control",
            addConnectionOptions,
            args => setExitCode(runStatus(args)),
        )
        .command("services", "list the services in force", addConnectionOptions, args => setExitCode(runServices(args)))
        .command("groups", "list replica groups", addConnectionOptions, args => setExitCode(runGroups(args)))
        .command("endpoints", "list endpoint VMs", addConnectionOptions, args => setExitCode(runEndpoints(args)))
        .command(
            "audit",
            "show the audit trail",
            command => addConnectionOptions(command).option("limit", { type: "number", default: DEFAULT_AUDIT_LIMIT }),
            args => setExitCode(runAudit(args)),
        )
        .command(
            "explain <request-id>",
            "explain how a request was routed and why it ended as it did",
            command =>
                addConnectionOptions(command.positional("request-id", { type: "string", demandOption: true }))
                    .option("logs", {
                        type: "string",
                        array: true,
                        default: [],
                        describe: "log files of the processes, read instead of querying entries",
                    }),
            args => setExitCode(runExplain({ ...args, requestId: args["request-id"] })),
        );
}

function addChangeCommands(parser: Argv, setExitCode: SetExitCode): void {
    for (const kind of ["drain", "undrain"] as const) {
        parser.command(
            `${kind} <target> <name>`,
            kind === "drain" ? "take a VM, fabric domain or data centre out of use" : "end a drain",
            command =>
                addConnectionOptions(
                    command.positional("target", { choices: DRAIN_TARGETS, demandOption: true }).positional("name", {
                        type: "string",
                        demandOption: true,
                    }),
                ).example(`$0 ${kind} domain quito-a-1`, ""),
            args => setExitCode(runDrain(kind, args)),
        );
    }
    parser.command(
        "quarantine <action> [fingerprint]",
        "list what ran when engines or endpoints crashed, or release it",
        command =>
            addConnectionOptions(
                command.positional("action", { choices: ["list", "release"] as const, demandOption: true }).positional(
                    "fingerprint",
                    { type: "string" },
                ),
            ).option("logs", {
                type: "string",
                array: true,
                default: [],
                describe: "log files of the processes, read by list instead of querying entries",
            }),
        args => setExitCode(runQuarantine(args)),
    );
}

function addMeasureCommands(parser: Argv, setExitCode: SetExitCode): void {
    parser
        .command(
            "load",
            "send an open-loop load to a system with stand-in engines and check every answer",
            command =>
                addConnectionOptions(command)
                    .option("model", { type: "string", default: "tonewood" })
                    .option("rate", { type: "number", default: 50, describe: "requests a second" })
                    .option("seconds", { type: "number", default: 10 })
                    .option("seed", { type: "number", default: 1 })
                    .option("streams", { type: "number", default: 0.5, describe: "fraction of streamed requests" })
                    .option("orders", {
                        type: "number",
                        default: 0,
                        describe: "fraction of non-idempotent requests (orders)",
                    })
                    .option("prefixes", { type: "number", default: 0, describe: "number of shared prompt prefixes" })
                    .option("workers", { type: "number", default: 1, describe: "number of sending threads" })
                    .option("report", { type: "string", describe: "write an HTML report to this file" })
                    .example(
                        "$0 load --key demo-key-cantora --rate 100 --report load.html",
                        "send with a client account's key",
                    ),
            args => setExitCode(runLoadCommand(args)),
        )
        .command(
            "report",
            "write group downtime and stranded accelerators over time as an HTML page",
            command =>
                addConnectionOptions(command)
                    .option("out", { type: "string", default: "kumquathall-report.html" })
                    .option("seconds", { type: "number", default: 60, describe: "duration of the sampling in seconds" })
                    .option("every", { type: "number", default: 5, describe: "seconds between samples" }),
            args => setExitCode(runReport(args)),
        );
}
