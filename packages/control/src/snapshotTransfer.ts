import type { ConsensusMessage } from "@kumquathall/consensus";
import type { Command, Snapshot } from "@kumquathall/types";

/** Snapshot bytes in one message; well below the largest size of a frame. */
const PART_BYTES = 1024 * 1024;

/** One part of a snapshot that is sent to another member. The parts of a snapshot arrive in order, over one link. */
export interface SnapshotPart {
    term: number;
    sentAt: number;
    /** The snapshot without its data. */
    header: Omit<Snapshot, "data">;
    offset: number;
    totalBytes: number;
    data: Uint8Array;
}

type SnapshotMessage = Extract<ConsensusMessage<Command>, { kind: "snapshot" }>;

/** Splits a snapshot message, since a large state does not fit in one frame. */
export function listSnapshotParts(message: SnapshotMessage): SnapshotPart[] {
    const { data, ...header } = message.snapshot;
    const parts: SnapshotPart[] = [];
    for (let offset = 0; offset === 0 || offset < data.length; offset += PART_BYTES) {
        const slice = data.subarray(offset, offset + PART_BYTES);
        parts.push({
            term: message.term,
            sentAt: message.sentAt,
            header,
            offset,
            totalBytes: data.length,
            data: slice,
        });
    }
    return parts;
}

/** Collects the parts of a snapshot from one sender; a part that does not continue the last one discards them. */
export class SnapshotReceiver {
    private parts: SnapshotPart[] = [];
    private receivedBytes = 0;

    /** Adds a part; returns the whole message once the last part has arrived. */
    receive(part: SnapshotPart): SnapshotMessage | undefined {
        const first = this.parts[0];
        const isNext = first !== undefined && first.header.index === part.header.index && first.term === part.term
            && part.offset === this.receivedBytes;
        if (!isNext) {
            this.parts = [];
            this.receivedBytes = 0;
            if (part.offset !== 0) {
                return undefined;
            }
        }
        this.parts.push(part);
        this.receivedBytes += part.data.length;
        if (this.receivedBytes < part.totalBytes) {
            return undefined;
        }
        const data = Buffer.concat(this.parts.map(item => item.data));
        this.parts = [];
        this.receivedBytes = 0;
        return { kind: "snapshot", term: part.term, sentAt: part.sentAt, snapshot: { ...part.header, data } };
    }
}
