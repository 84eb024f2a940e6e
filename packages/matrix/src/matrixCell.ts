/** What a cell found: `undefined` when every promise held. */
export type CellResult = string | undefined;

/** One fault, or a pair of faults, at one step. */
export interface MatrixCell {
    /** What is going on: `publish`, `order`, `stream`. */
    story: string;
    fault: string;
    step: string;
    /** Why the cell cannot occur; it is then not run. */
    impossible?: string;
    /** `disabledGuard` switches a guard of the product off, to see that the cell notices. */
    run: (seed: number, disabledGuard?: string) => Promise<CellResult>;
}
