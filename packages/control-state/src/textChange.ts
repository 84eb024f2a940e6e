import type { TextChange } from "@kumquathall/types";

/** Ends a piece of a text: in JSON, the end of a record, so that a changed record leaves the others' pieces equal. */
const PIECE_END = "}";

/** Computes how to build a text from an older one. Pieces that occur in the older text are copied from there. */
export function computeTextChange(older: string, newer: string): TextChange {
    const offsets = new Map<string, number>();
    let offset = 0;
    for (const piece of listPieces(older)) {
        if (!offsets.has(piece)) {
            offsets.set(piece, offset);
        }
        offset += piece.length;
    }
    const change: TextChange = [];
    let copied: { from: number; length: number } | undefined;
    for (const piece of listPieces(newer)) {
        const next = copied === undefined ? undefined : copied.from + copied.length;
        const from = next !== undefined && older.startsWith(piece, next) ? next : offsets.get(piece);
        const last = change.at(-1);
        if (from === undefined) {
            copied = undefined;
            if (typeof last === "string") {
                change[change.length - 1] = last + piece;
            }
            else {
                change.push(piece);
            }
        }
        else if (copied !== undefined && from === next) {
            copied.length += piece.length;
        }
        else {
            copied = { from, length: piece.length };
            change.push(copied);
        }
    }
    return change;
}

/** Builds the newer text that {@link computeTextChange} was given. */
export function applyTextChange(older: string, change: TextChange): string {
    return change.map(part => typeof part === "string" ? part : older.slice(part.from, part.from + part.length)).join(
        "",
    );
}

function* listPieces(text: string): Generator<string> {
    for (let start = 0; start < text.length;) {
        const end = text.indexOf(PIECE_END, start);
        const next = end === -1 ? text.length : end + PIECE_END.length;
        yield text.slice(start, next);
        start = next;
    }
}
