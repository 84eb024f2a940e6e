/** A file open for appending. */
export interface DiskFile {
    append(data: Uint8Array): Promise<void>;
    /** Resolves once all appended data is on stable storage. After a rejection the file's contents are undefined. */
    sync(): Promise<void>;
    close(): Promise<void>;
}

/** The file operations that storage needs, on the files of one folder. */
export abstract class Disk {
    abstract list(): Promise<string[]>;
    abstract read(name: string): Promise<Uint8Array>;
    abstract openForAppend(name: string): Promise<DiskFile>;
    /** Cuts a file to `bytes` and syncs it. */
    abstract truncate(name: string, bytes: number): Promise<void>;
    /** Writes a whole file under a temporary name, syncs it, renames it and syncs the folder. */
    abstract replace(name: string, data: Uint8Array): Promise<void>;
    abstract remove(name: string): Promise<void>;
}
