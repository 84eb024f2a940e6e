import { getVm, listVms } from "@kumquathall/control-state";
import type { Command, ConfigurationValue, PresenceItem } from "@kumquathall/types";
import type { VersionedMap } from "@kumquathall/versioned-map";
import { isDeepStrictEqual } from "node:util";

/** Newest report of one entry about the agents linked to it. */
export interface EntryReport {
    entry: string;
    /** Monotonic time at which the newest report arrived. */
    receivedAt: number;
    items: ReadonlyMap<string, PresenceItem>;
}

export interface PresenceOptions {
    /** An entry whose newest report is older than this is ignored, in milliseconds. */
    entryTimeoutMs: number;
    /** A VM that no entry has listed for this long is declared lost, in milliseconds. */
    lostAfterMs: number;
}

export interface PresenceInput {
    reports: readonly EntryReport[];
    configuration: VersionedMap<ConfigurationValue>;
    /** Monotonic time at which each VM was last listed. The caller keeps it and replaces it by that of the result. */
    lastListed: ReadonlyMap<string, number>;
    /** Monotonic time at which this member became leader. */
    leaderSince: number;
    now: number;
    /** Wall-clock time for the commands. */
    at: string;
    options: PresenceOptions;
}

export interface PresenceResult {
    commands: Command[];
    lastListed: Map<string, number>;
}

/**
 * Decides which VMs to register and which to declare lost.
 * Without any live entry no VM is declared lost, since then control itself is cut off.
 */
export function decidePresence(input: PresenceInput): PresenceResult {
    const { configuration, now, at, options } = input;
    const live = input.reports.filter(report => now - report.receivedAt <= options.entryTimeoutMs);
    const lastListed = new Map(input.lastListed);
    const commands: Command[] = [];
    for (const report of live) {
        for (const item of report.items.values()) {
            lastListed.set(item.vm, now);
            const known = getVm(configuration, item.vm);
            const isKnown = known !== undefined && known.present && known.incarnation === item.incarnation
                && isDeepStrictEqual(known.attributes, item.attributes);
            if (!isKnown && !commands.some(command => command.kind === "registerVm" && command.vm === item.vm)) {
                commands.push({
                    kind: "registerVm",
                    vm: item.vm,
                    incarnation: item.incarnation,
                    attributes: item.attributes,
                    at,
                });
            }
        }
    }
    if (live.length === 0) {
        return { commands, lastListed };
    }
    for (const vm of listVms(configuration)) {
        const listedAt = Math.max(lastListed.get(vm.id) ?? Number.NEGATIVE_INFINITY, input.leaderSince);
        if (vm.present && now - listedAt > options.lostAfterMs) {
            commands.push({ kind: "loseVm", vm: vm.id, incarnation: vm.incarnation, at });
        }
    }
    return { commands, lastListed };
}
