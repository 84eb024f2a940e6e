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

/** Tokens that the stand-in answers a prompt with: a function of the prompt alone, so that any answer can be checked. */
export function computeAnswerTokens(prompt: string, maxTokens: number): string[] {
    const digest = createHash("sha256").update(prompt).digest();
    const tokens: string[] = [];
    for (let at = 0; at < maxTokens; at++) {
        const mixed = digest.readUInt32BE((at * 4) % 28) + Math.imul(at + 1, 2654435761);
        tokens.push((at === 0 ? "" : " ") + WORDS[(mixed >>> 0) % WORDS.length]);
    }
    return tokens;
}

/** The whole answer as text. */
export function computeAnswerText(prompt: string, maxTokens: number): string {
    return computeAnswerTokens(prompt, maxTokens).join("");
}
