import { Disk, type DiskFile } from "./disk.js";

interface MemoryFile {
    data: Buffer;
    /** Bytes that survive a crash. */
    syncedBytes: number;
}

/** Files in memory that simulate the failures of a disk: crashes, torn tails, failed syncs, corrupted bytes. */
export class MemoryDisk extends Disk {
    private readonly files = new Map<string, MemoryFile>();
    /** Number of syncs so far. */
    syncCount = 0;
    /** When set, the next sync rejects. */
    failNextSync = false;

    override async list(): Promise<string[]> {
        return [...this.files.keys()].sort();
    }

    override async read(name: string): Promise<Uint8Array> {
        return Buffer.from(this.getFile(name).data);
    }

    override async openForAppend(name: string): Promise<DiskFile> {
        if (!this.files.has(name)) {
            this.files.set(name, { data: Buffer.alloc(0), syncedBytes: 0 });
        }
        const file = this.getFile(name);
        return {
            append: async data => {
                file.data = Buffer.concat([file.data, data]);
            },
            sync: async () => this.syncFile(file),
            close: async () => undefined,
        };
    }

    override async truncate(name: string, bytes: number): Promise<void> {
        const file = this.getFile(name);
        file.data = file.data.subarray(0, bytes);
        file.syncedBytes = bytes;
    }

    override async replace(name: string, data: Uint8Array): Promise<void> {
        this.files.set(name, { data: Buffer.from(data), syncedBytes: data.length });
    }

    override async remove(name: string): Promise<void> {
        this.files.delete(name);
    }

    /** Simulates a crash: drops the data of each file that was not synced, except its first `tornBytes` bytes. */
    crash(tornBytes = 0): void {
        for (const file of this.files.values()) {
            file.data = file.data.subarray(0, Math.min(file.data.length, file.syncedBytes + tornBytes));
            file.syncedBytes = file.data.length;
        }
    }

    /** Inverts one byte of a file. */
    corrupt(name: string, offset: number): void {
        const file = this.getFile(name);
        file.data = Buffer.from(file.data);
        file.data[offset] ^= 0xff;
    }

    private syncFile(file: MemoryFile): void {
        this.syncCount++;
        if (this.failNextSync) {
            this.failNextSync = false;
            throw new Error("input/output error");
        }
        file.syncedBytes = file.data.length;
    }

    private getFile(name: string): MemoryFile {
        const file = this.files.get(name);
        if (file === undefined) {
            throw new Error(`no file "${name}"`);
        }
        return file;
    }
}
