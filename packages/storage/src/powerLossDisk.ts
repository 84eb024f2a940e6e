import { Disk, type DiskFile } from "./disk.js";

/** One write or cut of a file that has not been synced. */
type PendingWrite = { offset: number; data: Buffer } | { cutTo: number };

interface FileContent {
    current: Buffer;
    /** What the last sync covered. */
    durable: Buffer;
    pending: PendingWrite[];
}

/** A name that was created, renamed or removed and whose folder has not been synced. */
interface PendingName {
    name: string;
    content: FileContent | undefined;
    /** Name under which a renamed file was known before. */
    formerName?: string;
    isCreation: boolean;
}

export interface PowerLossDiskOptions {
    /** Returns numbers in [0, 1) that decide what a power loss keeps. */
    random: () => number;
    /** Returns the duration of the next write or sync, in milliseconds; all take no time by default. */
    getDelayMs?: () => number;
}

/** What writes of a failing disk report: a text, and the system's code. */
export interface DiskFailure {
    message: string;
    code: string;
}

/** Bytes that one system call writes of a larger buffer. */
const WRITE_BYTES = 512 * 1024;
/** Part of the power losses after which everything that was not synced is gone. */
const ALL_GONE_PART = 0.25;

/**
 * Files in memory of one VM. The disk outlives processes: each process opens it, and none of its operations continue
 * after its end. At a power loss each write since a file's last sync is kept, lost or torn; a new name is durable once
 * its file is synced, and a renamed or removed one once the folder is.
 */
export class PowerLossDisk {
    private names = new Map<string, FileContent>();
    private durableNames = new Map<string, FileContent>();
    private pendingNames: PendingName[] = [];
    private process = 0;
    /** When set, every write and sync rejects with this error; half of a rejected write may remain. */
    failure: DiskFailure | undefined;

    constructor(private readonly options: PowerLossDiskOptions) {}

    /** Opens the disk for a new process. The operations of the former process end here. */
    open(): Disk {
        const own = ++this.process;
        return new ProcessDisk(this, async isWrite => {
            const delayMs = isWrite ? this.options.getDelayMs?.() ?? 0 : 0;
            if (delayMs > 0) {
                await new Promise(resolve => setTimeout(resolve, delayMs));
            }
            if (this.process !== own) {
                // The process has ended, so the operation neither takes effect nor returns.
                await new Promise(() => undefined);
            }
        });
    }

    /** Ends the process that has opened the disk. All that it has written remains. */
    endProcess(): void {
        this.process++;
    }

    /** Ends the process, and drops what a power loss may drop. */
    dropUnsynced(): void {
        const { random } = this.options;
        this.endProcess();
        const areAllGone = random() < ALL_GONE_PART;
        for (const change of this.pendingNames) {
            if (!areAllGone && random() < 0.5) {
                applyName(this.durableNames, change);
            }
        }
        this.pendingNames = [];
        for (const content of new Set([...this.durableNames.values()])) {
            content.current = areAllGone ? content.durable : this.dropWrites(content);
            content.durable = content.current;
            content.pending = [];
        }
        this.names = new Map(this.durableNames);
    }

    listNames(): string[] {
        return [...this.names.keys()].sort();
    }

    readContent(name: string): Buffer {
        return this.getContent(name).current;
    }

    createFile(name: string): FileContent {
        const content = this.names.get(name) ?? { current: Buffer.alloc(0), durable: Buffer.alloc(0), pending: [] };
        if (!this.names.has(name)) {
            this.recordName({ name, content, isCreation: true });
        }
        return content;
    }

    getContent(name: string): FileContent {
        const content = this.names.get(name);
        if (content === undefined) {
            throw new Error(`no file "${name}"`);
        }
        return content;
    }

    writeTo(content: FileContent, change: PendingWrite): void {
        this.checkFailure(() => {
            if ("data" in change) {
                const half = { offset: change.offset, data: change.data.subarray(0, change.data.length / 2) };
                content.current = applyWrite(content.current, half);
                content.pending.push(half);
            }
        });
        content.current = applyWrite(content.current, change);
        content.pending.push(change);
    }

    syncContent(content: FileContent): void {
        this.checkFailure();
        content.durable = content.current;
        content.pending = [];
        this.pendingNames = this.pendingNames.filter(change => {
            const isDone = change.isCreation && change.content === content;
            if (isDone) {
                applyName(this.durableNames, change);
            }
            return !isDone;
        });
    }

    replaceName(from: string, to: string): void {
        this.recordName({ name: to, content: this.getContent(from), formerName: from, isCreation: false });
    }

    removeFile(name: string): void {
        this.getContent(name);
        this.recordName({ name, content: undefined, isCreation: false });
    }

    syncNames(): void {
        this.checkFailure();
        this.durableNames = new Map(this.names);
        this.pendingNames = [];
    }

    private recordName(change: PendingName): void {
        applyName(this.names, change);
        this.pendingNames.push(change);
    }

    private dropWrites(content: FileContent): Buffer {
        const { random } = this.options;
        let kept = content.durable;
        for (const change of content.pending) {
            const draw = random();
            if (draw < 1 / 3) {
                continue;
            }
            const isTorn = draw < 2 / 3 && "data" in change;
            kept = applyWrite(
                kept,
                isTorn
                    ? {
                        offset: change.offset,
                        data: change.data.subarray(0, Math.floor(random() * change.data.length)),
                    }
                    : change,
            );
        }
        return kept;
    }

    private checkFailure(onFailure?: () => void): void {
        if (this.failure !== undefined) {
            onFailure?.();
            const { message, code } = this.failure;
            throw Object.assign(new Error(message), { code });
        }
    }
}

/** The disk as one process sees it, with the steps that `NodeDisk` takes. `wait` returns when the next may be taken. */
class ProcessDisk extends Disk {
    constructor(private readonly disk: PowerLossDisk, private readonly wait: (isWrite: boolean) => Promise<void>) {
        super();
    }

    override async list(): Promise<string[]> {
        await this.wait(false);
        return this.disk.listNames();
    }

    override async read(name: string): Promise<Uint8Array> {
        await this.wait(false);
        return Buffer.from(this.disk.readContent(name));
    }

    override async openForAppend(name: string): Promise<DiskFile> {
        await this.wait(false);
        const content = this.disk.createFile(name);
        await this.syncFolder();
        return {
            append: data => this.appendTo(content, data),
            sync: () => this.syncFile(content),
            close: () => this.wait(false),
        };
    }

    override async truncate(name: string, bytes: number): Promise<void> {
        await this.wait(true);
        const content = this.disk.getContent(name);
        this.disk.writeTo(content, { cutTo: bytes });
        await this.syncFile(content);
    }

    override async replace(name: string, data: Uint8Array): Promise<void> {
        const temporary = `${name}.tmp`;
        await this.wait(false);
        const content = this.disk.createFile(temporary);
        this.disk.writeTo(content, { cutTo: 0 });
        await this.appendTo(content, data);
        await this.syncFile(content);
        await this.wait(true);
        this.disk.replaceName(temporary, name);
        await this.syncFolder();
    }

    override async remove(name: string): Promise<void> {
        await this.wait(true);
        this.disk.removeFile(name);
    }

    private async appendTo(content: FileContent, data: Uint8Array): Promise<void> {
        for (let from = 0; from < data.length; from += WRITE_BYTES) {
            await this.wait(true);
            const piece = Buffer.from(data.subarray(from, from + WRITE_BYTES));
            this.disk.writeTo(content, { offset: content.current.length, data: piece });
        }
    }

    private async syncFile(content: FileContent): Promise<void> {
        await this.wait(true);
        this.disk.syncContent(content);
    }

    private async syncFolder(): Promise<void> {
        await this.wait(true);
        this.disk.syncNames();
    }
}

function applyName(names: Map<string, FileContent>, change: PendingName): void {
    if (change.formerName !== undefined) {
        names.delete(change.formerName);
    }
    if (change.content === undefined) {
        names.delete(change.name);
        return;
    }
    names.set(change.name, change.content);
}

function applyWrite(file: Buffer, change: PendingWrite): Buffer {
    if ("cutTo" in change) {
        return file.subarray(0, change.cutTo);
    }
    const written = Buffer.alloc(Math.max(file.length, change.offset + change.data.length));
    file.copy(written);
    change.data.copy(written, change.offset);
    return written;
}
