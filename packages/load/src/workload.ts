/** What a run sends, decided before it starts: the same seed gives the same requests at the same times. */
export interface WorkloadOptions {
    ratePerSecond: number;
    durationMs: number;
    seed: number;
    /** Share of requests that ask for a stream. */
    streamShare?: number;
    /** Share of requests that are orders, sent to `/services/NAME/orders` with a key of their own. */
    orderShare?: number;
    /** Number of distinct prompt prefixes that requests share; 0 for prompts without a common part. */
    sharedPrefixes?: number;
    prefixCharacters?: number;
    maxTokens?: number;
}

export type PlannedRequest =
    & { atMs: number }
    & (
        | { kind: "chat"; prompt: string; maxTokens: number; isStream: boolean }
        | { kind: "order"; orderId: string }
    );

const DEFAULT_MAX_TOKENS = 8;
const DEFAULT_PREFIX_CHARACTERS = 1024;

/** Small seeded generator of numbers in [0, 1) (mulberry32). */
export function createRandom(seed: number): () => number {
    let state = seed >>> 0;
    return () => {
        state = (state + 0x6d2b79f5) >>> 0;
        let mixed = Math.imul(state ^ (state >>> 15), state | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
    };
}

/** Builds Poisson arrivals with their requests. */
export function buildWorkload(options: WorkloadOptions): PlannedRequest[] {
    const random = createRandom(options.seed);
    const requests: PlannedRequest[] = [];
    let atMs = 0;
    for (;;) {
        atMs += -Math.log(1 - random()) * 1000 / options.ratePerSecond;
        if (atMs >= options.durationMs) {
            return requests;
        }
        requests.push(buildRequest(options, atMs, requests.length, random));
    }
}

function buildRequest(options: WorkloadOptions, atMs: number, number: number, random: () => number): PlannedRequest {
    if (random() < (options.orderShare ?? 0)) {
        return { atMs, kind: "order", orderId: `load-${options.seed}-${number}` };
    }
    const prefixes = options.sharedPrefixes ?? 0;
    // A few prefixes are asked for most of the time, as with real assistants.
    const chosen = prefixes === 0 ? 0 : Math.floor(prefixes * random() ** 2);
    const prefix = prefixes === 0 ? "" : buildPrefix(chosen, options.prefixCharacters ?? DEFAULT_PREFIX_CHARACTERS);
    return {
        atMs,
        kind: "chat",
        prompt: `${prefix}question ${options.seed}-${number}`,
        maxTokens: options.maxTokens ?? DEFAULT_MAX_TOKENS,
        isStream: random() < (options.streamShare ?? 0),
    };
}

function buildPrefix(number: number, characters: number): string {
    return `assistant ${number} `.repeat(Math.ceil(characters / 12)).slice(0, characters);
}
