/** Result of a bench, printed as JSON in the last line of output. */
export interface BenchResult {
    /** Whether the target was met. */
    met: boolean;
    [figure: string]: unknown;
}

/** One bench. `print` writes progress and intermediate figures. */
export interface Bench {
    name: string;
    /** Target in words, for people who run the bench. */
    target: string;
    run: (print: (line: string) => void) => Promise<BenchResult>;
}

const benches = new Map<string, Bench>();

/** Registers a bench under its name. */
export function registerBench(bench: Bench): void {
    benches.set(bench.name, bench);
}

/** Lists all benches, sorted by name. */
export function listBenches(): Bench[] {
    return [...benches.values()].sort((left, right) => left.name < right.name ? -1 : 1);
}
