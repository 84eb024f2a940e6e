import { OperatorClient } from "@kumquathall/operator-client";
import type { Argv } from "yargs";

/** Options that every command that calls the system takes. */
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
            describe: "URL of an entry; several may be given (KUMQUATHALL_ENTRY)",
        })
        .option("key", {
            type: "string",
            default: process.env.KUMQUATHALL_KEY ?? "",
            describe: "operator's key (KUMQUATHALL_KEY)",
        })
        .option("json", { type: "boolean", default: false, describe: "print JSON" });
}

/** Creates the client of the entries that were named. */
export function createClient(args: ConnectionArgs): OperatorClient {
    return new OperatorClient({ entryUrls: args.entry, key: args.key });
}
