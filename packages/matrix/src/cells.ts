import type { MatrixCell } from "./matrixCell.js";
import { listPublishCells } from "./publishCells.js";
import { listRequestCells } from "./requestCells.js";

/** All cells, in the order of the page. */
export function listCells(): MatrixCell[] {
    return [...listPublishCells(), ...listRequestCells()];
}
