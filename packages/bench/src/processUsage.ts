import { readFileSync } from "node:fs";

/** Processor time and memory of one process, as the kernel reports them in /proc. */
export interface ProcessUsage {
    cpuMs: number;
    residentBytes: number;
}

/** Kernel clock ticks a second on Linux. */
const TICKS_PER_SECOND = 100;
const KIBIBYTE = 1024;

/** Reads the usage of a process since its start. Throws if the process does not exist. */
export function readUsage(pid: number): ProcessUsage {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1].split(" ");
    const ticks = Number(fields[11]) + Number(fields[12]);
    const resident = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, "utf8"));
    return { cpuMs: ticks * 1000 / TICKS_PER_SECOND, residentBytes: Number(resident?.[1] ?? 0) * KIBIBYTE };
}
