import { OperatorClient } from "@kumquathall/operator-client";
import type { Argv } from "yargs";

/** Options of the commands that call an entry. */
export interface ConnectionArgs {
    entry: string[];
    key: string;
    json: boolean;
}

/** Adds the options of {@link ConnectionArgs}. */
export function addConnectionOptions<Args>(builder: Argv<Args>): Argv<Args & ConnectionArgs> {
    return builder
        .option("entry", {
            type: "string",
            array: true,
            default: (process.env.KUMQUATHALL_ENTRY ?? "http://127.0.0.1:8080").split(","),
            describe: "URL of an entry; several may be given (or KUMQUATHALL_ENTRY, comma-separated)",
        })
        .option("key", {
            type: "string",
            default: process.env.KUMQUATHALL_KEY ?? "",
            describe: "operator's key (or KUMQUATHALL_KEY)",
        })
        .option("json", { type: "boolean", default: false, describe: "print JSON" });
}

/** Creates a client for the given entries. */
export function createClient(args: ConnectionArgs): OperatorClient {
    return new OperatorClient({ entryUrls: args.entry, key: args.key });
}
