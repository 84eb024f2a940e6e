/** Durable log and snapshots in one data folder. */
export { Disk, type DiskFile } from "./disk.js";
export { LogStore, type LogStoreOptions, type RecoveredState } from "./logStore.js";
export { MemoryDisk } from "./memoryDisk.js";
export { NodeDisk } from "./nodeDisk.js";
export { type DiskFailure, PowerLossDisk, type PowerLossDiskOptions } from "./powerLossDisk.js";
export { decodeBlocks, encodeBlock, FORMAT_VERSION, measureRecord, StorageError } from "./record.js";
