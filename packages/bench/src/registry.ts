/** Closing line of a bench. `met` tells whether the target holds. */
export interface BenchResult {
    met: boolean;
    [figure: string]: unknown;
}

/** One bench. `print` writes progress and intermediate figures. */
export interface Bench {
    name: string;
    /** The stated target, in words. */
    target: string;
    run: (print: (line: string) => void) => Promise<BenchResult>;
}

const benches = new Map<string, Bench>();

/** Makes a bench available by name. */
export function registerBench(bench: Bench): void {
    benches.set(bench.name, bench);
}

/** All benches, by name. */
export function listBenches(): Bench[] {
    return [...benches.values()].sort((left, right) => left.name < right.name ? -1 : 1);
}
