import { describeError } from "@kumquathall/errors";
import type { HardState, LogEntry, Snapshot } from "@kumquathall/types";
import type { Disk, DiskFile } from "./disk.js";
import { decodeBlocks, encodeBlock, StorageError } from "./record.js";
import { RoomWaiter, type RoomWaiterOptions } from "./roomWaiter.js";

export interface LogStoreOptions extends RoomWaiterOptions {
    disk: Disk;
}

/** State recovered from a data folder. */
export interface RecoveredState<Payload> {
    hardState: HardState;
    snapshot: Snapshot | undefined;
    /** Entries after the snapshot, in order. */
    entries: LogEntry<Payload>[];
    /** Bytes of a torn write that were cut off. */
    cutBytes: number;
}

type LogRecord<Payload> =
    /** The first of a segment, with the entries in the same block, stands for all that earlier segments hold. */
    | { kind: "hardState"; hardState: HardState; isFirst?: boolean }
    | { kind: "entry"; entry: LogEntry<Payload> };

const SEGMENT_PATTERN = /^log-(\d{16})$/;
/** Ending of the temporary names under which {@link Disk.replace} writes. */
const TEMPORARY_SUFFIX = ".tmp";
const SNAPSHOT_PATTERN = /^snapshot-(\d{16})$/;

/**
 * The replicated log of one member on disk: segments of checksummed blocks, and the newest snapshot. Writes that find the
 * disk full wait for room; those that fail for another reason reject.
 */
export class LogStore<Payload> {
    private segment: DiskFile | undefined;
    private segmentNumber = 0;
    /** Bytes of whole blocks in the open segment. */
    private segmentBytes = 0;
    private readonly disk: Disk;
    private readonly room: RoomWaiter;

    private constructor(options: LogStoreOptions) {
        this.disk = options.disk;
        this.room = new RoomWaiter(options);
    }

    /** Opens a data folder and recovers its state. Throws {@link StorageError} on corruption other than a torn tail. */
    static async open<Payload>(
        options: LogStoreOptions,
    ): Promise<{ store: LogStore<Payload>; recovered: RecoveredState<Payload> }> {
        const store = new LogStore<Payload>(options);
        const recovered = await store.recover();
        return { store, recovered };
    }

    /** Whether a write waits for room on the disk. */
    isDiskFull(): boolean {
        return this.room.isFull();
    }

    /** Appends the hard state and entries as one block and syncs once. An entry replaces the log from its index on. */
    async append(hardState: HardState | undefined, entries: LogEntry<Payload>[]): Promise<void> {
        const records: LogRecord<Payload>[] = [];
        if (hardState !== undefined) {
            records.push({ kind: "hardState", hardState });
        }
        for (const entry of entries) {
            records.push({ kind: "entry", entry });
        }
        if (records.length === 0) {
            return;
        }
        await this.writeBlock(records);
    }

    /** Writes a snapshot file and syncs it. Entries may be appended at the same time. */
    async writeSnapshot(snapshot: Snapshot): Promise<void> {
        try {
            const block = encodeBlock([snapshot]);
            await this.room.run(() => this.disk.replace(formatName("snapshot", snapshot.index), block));
        }
        catch (error) {
            throw new StorageError(`snapshot not stored: ${describeError(error)}`, error);
        }
    }

    /** Starts a segment with the entries after a stored snapshot, and removes the files that the snapshot replaces. */
    async startSegment(snapshotIndex: number, hardState: HardState, remaining: LogEntry<Payload>[]): Promise<void> {
        try {
            const previous = this.segment;
            this.segmentNumber++;
            await this.openSegment();
            const entries = remaining.map(entry => ({ kind: "entry" as const, entry }));
            await this.writeBlock([{ kind: "hardState", hardState, isFirst: true }, ...entries]);
            await previous?.close();
            await this.removeObsolete(snapshotIndex);
        }
        catch (error) {
            throw error instanceof StorageError
                ? error
                : new StorageError(`log segment not started: ${describeError(error)}`, error);
        }
    }

    /** Closes the open segment. Writes that wait for room reject. */
    async close(): Promise<void> {
        this.room.close();
        await this.segment?.close();
    }

    private async openSegment(): Promise<void> {
        await this.room.run(async () => {
            this.segment = await this.disk.openForAppend(formatName("log", this.segmentNumber));
        });
        this.segmentBytes = 0;
    }

    private async writeBlock(records: LogRecord<Payload>[]): Promise<void> {
        const { segment } = this;
        if (segment === undefined) {
            throw new StorageError("the log is not open");
        }
        try {
            const block = encodeBlock(records);
            const write = async () => {
                await segment.append(block);
                await segment.sync();
            };
            const name = formatName("log", this.segmentNumber);
            await this.room.run(write, () => this.disk.truncate(name, this.segmentBytes));
            this.segmentBytes += block.length;
        }
        catch (error) {
            throw new StorageError(
                `log not written: ${describeError(error)}. Check the disk for errors and free space`,
                error,
            );
        }
    }

    private async recover(): Promise<RecoveredState<Payload>> {
        const names = await this.disk.list();
        await this.removeTemporary(names);
        const snapshot = await this.readNewestSnapshot(names);
        const state: RecoveredState<Payload> = {
            hardState: { term: 0, votedFor: undefined },
            snapshot,
            entries: [],
            cutBytes: 0,
        };
        const segments = names.filter(name => SEGMENT_PATTERN.test(name));
        let lastSegmentBytes = 0;
        for (const name of segments) {
            lastSegmentBytes = await this.recoverSegment(name, name === segments.at(-1), state);
        }
        state.entries = state.entries.filter(entry => entry.index > (snapshot?.index ?? 0));
        checkContinuity(state);
        this.segmentNumber = segments.length === 0 ? 1 : Number(SEGMENT_PATTERN.exec(segments.at(-1) ?? "")?.[1]);
        await this.openSegment();
        this.segmentBytes = lastSegmentBytes;
        // A former process may have ended between a write and its sync; what is recovered counts as durable from here on.
        await this.room.run(async () => this.segment?.sync());
        return state;
    }

    /** Returns the bytes of the whole blocks. */
    private async recoverSegment(name: string, isLast: boolean, state: RecoveredState<Payload>): Promise<number> {
        const file = Buffer.from(await this.disk.read(name));
        const decoded = decodeBlocks(name, file);
        if (decoded.validBytes < file.length) {
            if (!isLast) {
                throw new StorageError(`${name}: damaged at offset ${decoded.validBytes}, and a later segment exists`);
            }
            state.cutBytes = file.length - decoded.validBytes;
            await this.room.run(() => this.disk.truncate(name, decoded.validBytes));
        }
        for (const record of decoded.records as LogRecord<Payload>[]) {
            applyRecord(state, record);
        }
        return decoded.validBytes;
    }

    private async readNewestSnapshot(names: string[]): Promise<Snapshot | undefined> {
        const newest = names.filter(name => SNAPSHOT_PATTERN.test(name)).at(-1);
        if (newest === undefined) {
            return undefined;
        }
        const file = Buffer.from(await this.disk.read(newest));
        const decoded = decodeBlocks(newest, file);
        if (decoded.records.length !== 1) {
            throw new StorageError(
                `${newest}: damaged at offset ${decoded.validBytes}. Remove this member's data folder and start it again`,
            );
        }
        return decoded.records[0] as Snapshot;
    }

    /** Removes temporary files that a process has left behind. Only at the start: later a snapshot may be in writing. */
    private async removeTemporary(names: string[]): Promise<void> {
        for (const name of names) {
            if (name.endsWith(TEMPORARY_SUFFIX)) {
                await this.disk.remove(name);
            }
        }
    }

    private async removeObsolete(snapshotIndex: number): Promise<void> {
        for (const name of await this.disk.list()) {
            const segment = SEGMENT_PATTERN.exec(name);
            const snapshot = SNAPSHOT_PATTERN.exec(name);
            const isObsolete = (segment !== null && Number(segment[1]) < this.segmentNumber)
                || (snapshot !== null && Number(snapshot[1]) < snapshotIndex);
            if (isObsolete) {
                await this.disk.remove(name);
            }
        }
    }
}

function applyRecord<Payload>(state: RecoveredState<Payload>, record: LogRecord<Payload>): void {
    if (record.kind === "hardState") {
        state.hardState = record.hardState;
        if (record.isFirst === true) {
            state.entries = [];
        }
        return;
    }
    // An entry replaces earlier entries at its index and above.
    while (state.entries.length > 0 && state.entries[state.entries.length - 1].index >= record.entry.index) {
        state.entries.pop();
    }
    state.entries.push(record.entry);
}

function checkContinuity<Payload>(state: RecoveredState<Payload>): void {
    let expected = (state.snapshot?.index ?? 0) + 1;
    for (const entry of state.entries) {
        if (entry.index !== expected) {
            throw new StorageError(`the log has a gap: entry ${expected - 1} is followed by ${entry.index}`);
        }
        expected++;
    }
}

function formatName(kind: "log" | "snapshot", number: number): string {
    return `${kind}-${String(number).padStart(16, "0")}`;
}
