import { createHash } from "node:crypto";

/** Number of prompt characters in one prefix block. */
export const PREFIX_BLOCK_CHARACTERS = 256;
/** Number of leading blocks of a prompt that are hashed. */
const MAX_BLOCKS = 32;

/** Computes a hash for each complete leading block of a prompt. Each hash covers all blocks up to its own. */
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
