import { createHash } from "node:crypto";
import { ExitCode } from "../../exitCode.js";
import { printLine } from "../../print.js";

/** Prints the digest of a key that is read from standard input, as service files and settings take it. Returns the exit code. */
export async function runKeyDigest(): Promise<number> {
    const parts: Buffer[] = [];
    for await (const part of process.stdin) {
        parts.push(part as Buffer);
    }
    const key = Buffer.concat(parts).toString("utf8").trim();
    if (key === "") {
        printLine('give the key on standard input, for example: printf %s "$KEY" | kumquathall key');
        return ExitCode.Invalid;
    }
    printLine(createHash("sha256").update(key).digest("hex"));
    return ExitCode.Done;
}
