import { createHash } from "node:crypto";
import { ExitCode } from "../../exitCode.js";
import { printLine } from "../../print.js";

/** Prints the hexadecimal SHA-256 digest of a key on standard input, for `keyDigest` fields. Returns the exit code. */
export async function runKeyDigest(): Promise<number> {
    const chunks: Buffer[] = [];
    for await (const chunk of process.stdin) {
        chunks.push(chunk as Buffer);
    }
    const key = Buffer.concat(chunks).toString("utf8").trim();
    if (key === "") {
        printLine('no key on standard input; pass it, for example: printf %s "$KEY" | kumquathall key');
        return ExitCode.Invalid;
    }
    printLine(createHash("sha256").update(key).digest("hex"));
    return ExitCode.Done;
}
