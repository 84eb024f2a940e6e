/** The violation that a cell found, or `undefined` if there was none. */
export type CellResult = string | undefined;

/** One fault, or a sequence of two faults, injected at one step of an operation. */
export interface MatrixCell {
    /** Operation under test: `publish`, `order` (a request that must run at most once) or `stream`. */
    operation: string;
    fault: string;
    step: string;
    /** Why the fault cannot occur at this step; such a cell is not run. */
    impossible?: string;
    /** Runs the cell. `disabledGuard` disables a guard of the product, to test that the cell detects the fault. */
    run: (seed: number, disabledGuard?: string) => Promise<CellResult>;
}
