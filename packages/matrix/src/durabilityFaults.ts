import { getMemberAddress } from "@kumquathall/control-directory";
import type { DiskFailure } from "@kumquathall/storage";
import type { ControlNetwork } from "./controlNetwork.js";
import type { ControlVm } from "./controlVm.js";

/** What disruptions act on. */
export interface FaultTarget {
    readonly random: () => number;
    readonly network: ControlNetwork;
    pick: <Item>(items: readonly Item[]) => Item | undefined;
    /** Number of disks that may be lost now without exceeding what is tolerated. */
    countSpareDisks: () => number;
    /** Replaces the disk by an empty one; the VM is back after a time. */
    replaceDisk: (vm: ControlVm, downMs: number) => void;
    /** Counts a VM as lost until it, or its successor, has been back for the time to catch up. */
    recordDiskLost: (vm: ControlVm, downMs: number) => void;
    /** Runs a function at the moment of the next acknowledgement by a VM. */
    runAtAcknowledgement: (vm: ControlVm, run: () => void) => void;
    startLater: (vm: ControlVm, downMs: number) => void;
    createAddress: () => string;
}

/** A disruption that can begin now. */
export interface Disruption {
    name: string;
    lastsMs: number;
    begin: () => void;
    end?: () => void;
}

const DISK_FULL: DiskFailure = { message: "no space left on device", code: "ENOSPC" };
/** Failure of a disk after which a process may end. */
export const DISK_BROKEN: DiskFailure = { message: "input/output error", code: "EIO" };

/** Losses that a group of five bears at once. */
const MAX_LOST = 2;
/** Longer than the time after which a silent member is replaced, in milliseconds. */
const DARK_MS = 3500;
const WIPED_MS = 1500;
/** Time for each write of a disk that hangs, in milliseconds. */
const HANGING_DISK_MS = 10_000;

type Builder = (simulation: FaultTarget) => Disruption | undefined;

const DISRUPTIONS: Record<string, Builder> = {
    "kill one": simulation => buildRestart(simulation, [simulation.pick(listUp(simulation))], vm => vm.kill()),
    "kill two": simulation => buildRestart(simulation, listUp(simulation).slice(0, 2), vm => vm.kill()),
    "kill leader": simulation => buildRestart(simulation, [findLeader(simulation)], vm => vm.kill()),
    "kill all": simulation => buildRestart(simulation, listUp(simulation), vm => vm.kill()),
    "power one": simulation => buildRestart(simulation, [simulation.pick(listUp(simulation))], vm => vm.crash()),
    "power all": simulation => buildRestart(simulation, listUp(simulation), vm => vm.crash()),
    "disk one": simulation => buildDiskLoss(simulation, 1, false),
    "disk two": simulation => buildDiskLoss(simulation, 2, false),
    "disks and power": simulation => buildDiskLoss(simulation, 2, true),
    "replace": buildReplacement,
    "cut one": simulation => buildCut(simulation, pickAddress(simulation), (vm, from, to) => from === vm || to === vm),
    "cut leader": simulation =>
        buildCut(simulation, findLeader(simulation)?.options.address, (vm, from, to) => from === vm || to === vm),
    "cut sending": simulation => buildCut(simulation, pickAddress(simulation), (vm, from) => from === vm),
    "cut receiving": simulation => buildCut(simulation, pickAddress(simulation), (vm, _from, to) => to === vm),
    "split": buildSplit,
    "slow link": simulation => buildSlowness(simulation, simulation.network.slowness, 150),
    "slow leader loses disk": buildLeaderLoss,
    "slow disk": simulation => buildSlowness(simulation, simulation.network.diskSlowness, 400),
    "full disk": simulation => buildDiskFailure(simulation, DISK_FULL),
    "failing disk": simulation => buildDiskFailure(simulation, DISK_BROKEN),
};

/** Disruptions that occur only where they are named. */
const NAMED_DISRUPTIONS: Record<string, Builder> = {
    "full disks in turn": simulation =>
        simulation.network.listVms().some(vm => vm.disk.failure !== undefined)
            ? undefined
            : buildDiskFailure(simulation, DISK_FULL),
    "losses in turn": simulation => buildLossInTurn(simulation, listUp(simulation)[0]),
    "losses in turn beside a hanging disk": buildLossBesideHangingDisk,
};

/** Chooses a disruption by the simulation's random source; `undefined` if the chosen one is not possible now. */
export function chooseDisruption(
    simulation: FaultTarget,
    kinds: readonly string[] = Object.keys(DISRUPTIONS),
): Disruption | undefined {
    const kind = simulation.pick(kinds);
    const disruption = kind === undefined
        ? undefined
        : { ...DISRUPTIONS, ...NAMED_DISRUPTIONS }[kind](simulation);
    return disruption === undefined ? undefined : { ...disruption, name: `${kind}: ${disruption.name}` };
}

function listUp(simulation: FaultTarget): ControlVm[] {
    const vms = simulation.network.listVms().filter(vm => vm.process !== undefined);
    return [...vms].sort(() => simulation.random() - 0.5);
}

function pickAddress(simulation: FaultTarget): string | undefined {
    return simulation.pick(simulation.network.listVms())?.options.address;
}

function findLeader(simulation: FaultTarget): ControlVm | undefined {
    return simulation.network.listVms().find(vm => vm.process?.runtime?.canServe() === true);
}

function formatNames(vms: readonly ControlVm[]): string {
    return vms.map(vm => vm.options.address).join(" ");
}

function buildRestart(
    simulation: FaultTarget,
    wanted: (ControlVm | undefined)[],
    end: (vm: ControlVm) => void,
): Disruption | undefined {
    const vms = wanted.flatMap(vm => vm ?? []);
    if (vms.length === 0) {
        return undefined;
    }
    const begin = () => {
        for (const vm of vms) {
            end(vm);
            simulation.startLater(vm, 100 + Math.floor(simulation.random() * 2500));
        }
    };
    return { name: formatNames(vms), lastsMs: 2500, begin };
}

function buildDiskLoss(simulation: FaultTarget, count: number, losePower: boolean): Disruption | undefined {
    const vms = listUp(simulation);
    const lost = vms.slice(0, count);
    if (simulation.countSpareDisks() < count || lost.length < count) {
        return undefined;
    }
    const begin = () => {
        if (simulation.countSpareDisks() < count) {
            return;
        }
        const backMs = () => 100 + Math.floor(simulation.random() * 2500);
        lost.forEach(vm => simulation.replaceDisk(vm, backMs()));
        if (losePower) {
            vms.slice(count).forEach(vm => {
                vm.crash();
                simulation.startLater(vm, backMs());
            });
        }
    };
    return { name: formatNames(lost), lastsMs: 3000, begin };
}

/** Darkens a VM for longer than a member may be silent, or replaces its disk, once earlier losses have been made up for. */
function buildLossInTurn(simulation: FaultTarget, vm: ControlVm): Disruption | undefined {
    if (simulation.countSpareDisks() < MAX_LOST) {
        return undefined;
    }
    const isDark = simulation.random() < 0.4;
    const downMs = isDark ? DARK_MS : WIPED_MS;
    const begin = () => {
        if (isDark) {
            simulation.recordDiskLost(vm, downMs);
            vm.crash();
            simulation.startLater(vm, downMs);
        }
        else {
            simulation.replaceDisk(vm, downMs);
        }
    };
    return { name: `${isDark ? "dark" : "disk"} ${formatNames([vm])}`, lastsMs: downMs, begin };
}

/** Lets the disk of a VM hang that is no member, so that it asks to join and can't; others are lost in turn. */
function buildLossBesideHangingDisk(simulation: FaultTarget): Disruption | undefined {
    const { diskSlowness } = simulation.network;
    if (diskSlowness.size === 0) {
        const members = findLeader(simulation)?.process?.runtime?.getMembers().map(getMemberAddress) ?? [];
        const beside = simulation.network.listVms().find(vm => !members.includes(vm.options.address));
        if (members.length === 0 || beside === undefined) {
            return undefined;
        }
        diskSlowness.set(beside.options.address, HANGING_DISK_MS);
    }
    const [vm] = listUp(simulation).filter(item => !diskSlowness.has(item.options.address));
    return buildLossInTurn(simulation, vm);
}

/** Removes a VM for good; one at another address, with an empty disk, takes its place. */
function buildReplacement(simulation: FaultTarget): Disruption | undefined {
    const vm = simulation.pick(listUp(simulation));
    if (vm === undefined || simulation.countSpareDisks() < 1) {
        return undefined;
    }
    const begin = () => {
        if (simulation.countSpareDisks() < 1) {
            return;
        }
        simulation.network.removeVm(vm);
        const downMs = Math.floor(simulation.random() * 2000);
        simulation.recordDiskLost(vm, downMs);
        simulation.startLater(simulation.network.addVm(simulation.createAddress()), downMs);
    };
    return { name: formatNames([vm]), lastsMs: 3000, begin };
}

function buildCut(
    simulation: FaultTarget,
    address: string | undefined,
    isCut: (address: string, from: string, to: string) => boolean,
): Disruption | undefined {
    if (address === undefined) {
        return undefined;
    }
    const { network } = simulation;
    return {
        name: address,
        lastsMs: 300 + Math.floor(simulation.random() * 4000),
        begin: () => network.isCut = (from, to) => isCut(address, from, to),
        end: () => network.isCut = () => false,
    };
}

function buildSplit(simulation: FaultTarget): Disruption {
    const { network } = simulation;
    const side = new Set(network.listVms().map(vm => vm.options.address).filter(() => simulation.random() < 0.5));
    return {
        name: [...side].join(" "),
        lastsMs: 300 + Math.floor(simulation.random() * 5000),
        begin: () => network.isCut = (from, to) => side.has(from) !== side.has(to),
        end: () => network.isCut = () => false,
    };
}

function buildSlowness(simulation: FaultTarget, slowness: Map<string, number>, ms: number): Disruption {
    const address = pickAddress(simulation) ?? "";
    return {
        name: address,
        lastsMs: 500 + Math.floor(simulation.random() * 3000),
        begin: () => slowness.set(address, Math.floor(simulation.random() * ms)),
        end: () => slowness.delete(address),
    };
}

/** Slows the leader's links down, and replaces its disk at the moment of an acknowledgement. */
function buildLeaderLoss(simulation: FaultTarget): Disruption | undefined {
    const leader = findLeader(simulation);
    if (leader === undefined || simulation.countSpareDisks() < 1) {
        return undefined;
    }
    const { slowness } = simulation.network;
    const { address } = leader.options;
    return {
        name: address,
        lastsMs: 3000,
        begin: () => {
            slowness.set(address, 80 + Math.floor(simulation.random() * 100));
            simulation.runAtAcknowledgement(leader, () => {
                if (simulation.countSpareDisks() > 0) {
                    simulation.replaceDisk(leader, 100 + Math.floor(simulation.random() * 1000));
                }
            });
        },
        end: () => slowness.delete(address),
    };
}

function buildDiskFailure(simulation: FaultTarget, failure: DiskFailure): Disruption | undefined {
    const vm = simulation.pick(listUp(simulation));
    if (vm === undefined) {
        return undefined;
    }
    const { disk } = vm;
    return {
        name: vm.options.address,
        lastsMs: 300 + Math.floor(simulation.random() * 2500),
        begin: () => disk.failure = failure,
        end: () => disk.failure = undefined,
    };
}
