/** Parameters of a workload. The same options, with the same seed, give the same requests at the same times. */
export interface WorkloadOptions {
    ratePerSecond: number;
    durationMs: number;
    seed: number;
    /** Fraction of chat requests that are streamed. */
    streamShare?: number;
    /** Fraction of requests that are orders to `/services/NAME/orders`, each with its own idempotency key. */
    orderShare?: number;
    /** Number of distinct prompt prefixes that requests share; 0 for prompts without a shared prefix. */
    sharedPrefixes?: number;
    prefixCharacters?: number;
    maxTokens?: number;
}

/** A request and its arrival time, in milliseconds from the start of the run. */
export type PlannedRequest =
    & { atMs: number }
    & (
        | { kind: "chat"; prompt: string; maxTokens: number; isStream: boolean }
        | { kind: "order"; orderId: string }
    );

const DEFAULT_MAX_TOKENS = 8;
const DEFAULT_PREFIX_CHARACTERS = 1024;

/** Creates a seeded pseudorandom generator of numbers in [0, 1) (mulberry32). */
export function createRandom(seed: number): () => number {
    let state = seed >>> 0;
    return () => {
        state = (state + 0x6d2b79f5) >>> 0;
        let mixed = Math.imul(state ^ (state >>> 15), state | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
    };
}

/** Builds the requests of a Poisson arrival process, in order of arrival. */
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
    // Squaring favours prefixes with a low number: in real traffic, a few assistants receive most requests.
    const prefixNumber = prefixes === 0 ? 0 : Math.floor(prefixes * random() ** 2);
    const prefix = prefixes === 0
        ? ""
        : buildPrefix(prefixNumber, options.prefixCharacters ?? DEFAULT_PREFIX_CHARACTERS);
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
