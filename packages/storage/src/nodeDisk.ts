import { mkdirSync } from "node:fs";
import { type FileHandle, open, readdir, readFile, rename, truncate, unlink } from "node:fs/promises";
import { join } from "node:path";
import { Disk, type DiskFile } from "./disk.js";

/** Files in a folder of the file system. */
export class NodeDisk extends Disk {
    constructor(private readonly folder: string) {
        super();
        mkdirSync(folder, { recursive: true });
    }

    override async list(): Promise<string[]> {
        return (await readdir(this.folder)).sort();
    }

    override read(name: string): Promise<Uint8Array> {
        return readFile(join(this.folder, name));
    }

    override async openForAppend(name: string): Promise<DiskFile> {
        const handle = await open(join(this.folder, name), "a");
        try {
            await this.syncFolder();
        }
        catch (error) {
            await handle.close();
            throw error;
        }
        return new NodeDiskFile(handle);
    }

    override async truncate(name: string, bytes: number): Promise<void> {
        await truncate(join(this.folder, name), bytes);
        await writeAndClose(await open(join(this.folder, name), "r+"), () => Promise.resolve());
    }

    override async replace(name: string, data: Uint8Array): Promise<void> {
        const temporary = join(this.folder, `${name}.tmp`);
        try {
            await writeAndClose(await open(temporary, "w"), handle => handle.writeFile(data));
        }
        catch (error) {
            // What was written takes room that the log may need.
            await unlink(temporary).catch(() => undefined);
            throw error;
        }
        await rename(temporary, join(this.folder, name));
        await this.syncFolder();
    }

    override async remove(name: string): Promise<void> {
        await unlink(join(this.folder, name));
    }

    private async syncFolder(): Promise<void> {
        const handle = await open(this.folder, "r");
        await handle.sync();
        await handle.close();
    }
}

async function writeAndClose(handle: FileHandle, write: (handle: FileHandle) => Promise<void>): Promise<void> {
    try {
        await write(handle);
        await handle.sync();
    }
    finally {
        await handle.close();
    }
}

class NodeDiskFile implements DiskFile {
    constructor(private readonly handle: FileHandle) {}

    async append(data: Uint8Array): Promise<void> {
        await this.handle.writeFile(data);
    }

    async sync(): Promise<void> {
        await this.handle.datasync();
    }

    async close(): Promise<void> {
        await this.handle.close();
    }
}
