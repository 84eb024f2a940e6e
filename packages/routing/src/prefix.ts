import { createHash } from "node:crypto";

/** Characters of prompt that one prefix block covers. */
export const PREFIX_BLOCK_CHARACTERS = 256;
const MAX_BLOCKS = 32;

/** Hashes of a prompt's whole leading blocks, each including all blocks before it, shortest prefix first. */
export function computePrefixHashes(prompt: string): string[] {
    const hashes: string[] = [];
    let previous = "";
    const blocks = Math.min(MAX_BLOCKS, Math.floor(prompt.length / PREFIX_BLOCK_CHARACTERS));
    for (let block = 0; block < blocks; block++) {
        const text = prompt.slice(block * PREFIX_BLOCK_CHARACTERS, (block + 1) * PREFIX_BLOCK_CHARACTERS);
        previous = createHash("sha1").update(previous).update(text).digest("base64url").slice(0, 12);
        hashes.push(previous);
    }
    return hashes;
}
