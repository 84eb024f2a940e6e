import { createHash } from "node:crypto";

/** A prompt that contains this crashes the stand-in engine. */
export const STANDIN_CRASH_MARK = "@crash@";

const WORDS = [
    "spruce",
    "maple",
    "billet",
    "tap",
    "tone",
    "bridge",
    "girder",
    "convoy",
    "escort",
    "notice",
    "route",
    "grain",
    "ring",
    "arch",
    "bass",
    "bar",
    "plate",
    "wedge",
    "season",
    "permit",
    "crane",
    "yard",
    "blade",
    "depot",
] as const;

/** Tokens of the answer to a prompt, derived from the prompt alone so that a client can verify any answer. */
export function computeAnswerTokens(prompt: string, maxTokens: number): string[] {
    const digest = createHash("sha256").update(prompt).digest();
    const tokens: string[] = [];
    for (let index = 0; index < maxTokens; index++) {
        const mixed = digest.readUInt32BE((index * 4) % 28) + Math.imul(index + 1, 2654435761);
        tokens.push((index === 0 ? "" : " ") + WORDS[(mixed >>> 0) % WORDS.length]);
    }
    return tokens;
}

/** The complete answer as text. */
export function computeAnswerText(prompt: string, maxTokens: number): string {
    return computeAnswerTokens(prompt, maxTokens).join("");
}
