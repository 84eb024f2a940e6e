import type { MatrixCell } from "./matrixCell.js";
import { listPublishCells } from "./publishCells.js";
import { listRequestCells } from "./requestCells.js";

/** Lists all cells in the order of docs/FAULTS.md. */
export function listCells(): MatrixCell[] {
    return [...listPublishCells(), ...listRequestCells()];
}
