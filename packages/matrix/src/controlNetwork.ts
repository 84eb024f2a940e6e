import type { ConsensusMessage } from "@kumquathall/consensus";
import { getMemberAddress } from "@kumquathall/control-directory";
import type { Command, ControlAnswer, ControlCall } from "@kumquathall/types";
import { type ControlProcess, ControlVm, type ControlVmOptions } from "./controlVm.js";

export interface ControlNetworkOptions {
    random: () => number;
    /** Addresses of the VMs that run from the start. */
    addresses: string[];
    seeds: string[];
    targetMembers: number;
    snapshotEvery: number;
    disabledGuard: string | undefined;
    onProcessFailure: (address: string, error: unknown) => void;
    onLine: (line: string) => void;
    /** Time to set up a link between two members, in milliseconds. */
    linkSetUpMs: number;
}

const DELAY_MS = 1;
const JITTER_MS = 3;
const REFUSED_MS = 1;
/** Age of the list of VMs from which the settings name seeds, in milliseconds, and how many they name. */
const SEED_LAG_MS = 3000;
const SEEDS = 3;
const DISK_MS = 1;

/** The VMs of a control group and the network between them. */
export class ControlNetwork {
    readonly vms = new Map<string, ControlVm>();
    /** Whether a message from one address to another is lost now. */
    isCut: (from: string, to: string) => boolean = () => false;
    /** Additional delay of messages from and to an address, in milliseconds. */
    readonly slowness = new Map<string, number>();
    /** Duration of writes and syncs at an address, in milliseconds, where it is not the usual one. */
    readonly diskSlowness = new Map<string, number>();
    private readonly arrivals = new Map<string, number>();
    /** Addresses of the VMs at former times, newest first. */
    private readonly listed: { at: number; addresses: string[] }[] = [];

    constructor(private readonly options: ControlNetworkOptions) {
        options.addresses.forEach(address => this.addVm(address));
    }

    /** Removes a VM for good. */
    removeVm(vm: ControlVm): void {
        vm.kill();
        vm.isRemoved = true;
        this.recordList();
    }

    addVm(address: string): ControlVm {
        const { random, targetMembers, snapshotEvery, disabledGuard, onProcessFailure, onLine, linkSetUpMs } =
            this.options;
        const options: ControlVmOptions = {
            address,
            listSeeds: isFirstStart => this.listSeeds(isFirstStart),
            targetMembers,
            snapshotEvery,
            disabledGuard,
            random,
            getDelayMs: () => this.diskSlowness.get(address) ?? DISK_MS + random() * DISK_MS,
            send: (from, to, message) => this.send(from, to, message),
            call: (from, to, call, timeoutMs) => this.call(from, to, call, timeoutMs),
            onProcessFailure,
            onLine,
            linkSetUpMs,
        };
        const vm = new ControlVm(options);
        this.vms.set(address, vm);
        this.recordList();
        return vm;
    }

    listVms(): ControlVm[] {
        return [...this.vms.values()].filter(vm => !vm.isRemoved);
    }

    listProcesses(): ControlProcess[] {
        return this.listVms().flatMap(vm => vm.process ?? []);
    }

    close(): void {
        this.vms.forEach(vm => vm.kill());
    }

    private recordList(): void {
        this.listed.unshift({ at: performance.now(), addresses: this.listVms().map(vm => vm.options.address) });
    }

    private listSeeds(isFirstStart: boolean): string[] {
        if (isFirstStart) {
            return this.options.seeds;
        }
        const before = performance.now() - SEED_LAG_MS;
        const list = this.listed.find(item => item.at <= before)?.addresses ?? this.options.addresses;
        return [...list].sort(() => this.options.random() - 0.5).slice(0, SEEDS);
    }

    private send(from: ControlProcess, to: string, message: ConsensusMessage<Command>): void {
        const sender = from.vm.options.address;
        const address = getMemberAddress(to);
        const receiver = this.vms.get(address)?.process;
        // A link is to one process: what was sent to a former one at the address does not arrive at its successor.
        if (receiver === undefined || receiver.id !== to || this.isCut(sender, address)) {
            return;
        }
        this.deliver(sender, address, () => {
            // What a process that has ended had not yet got onto the network is lost with it.
            if (this.vms.get(address)?.process === receiver && from.vm.process === from) {
                receiver.runtime?.receive(from.id, structuredClone(message));
            }
        });
    }

    private call(
        from: ControlProcess,
        address: string,
        call: ControlCall,
        timeoutMs: number,
    ): Promise<ControlAnswer> {
        const sender = from.vm.options.address;
        return new Promise((resolve, reject) => {
            setTimeout(() => reject(new Error("no answer in time")), Math.max(1, timeoutMs));
            const receiver = this.vms.get(address)?.process;
            if (this.isCut(sender, address)) {
                return;
            }
            if (receiver === undefined) {
                setTimeout(() => reject(new Error("connection refused")), REFUSED_MS);
                return;
            }
            const answer = (reply: () => void) => {
                if (!this.isCut(address, sender) && from.vm.process === from) {
                    this.deliver(address, sender, reply);
                }
            };
            this.deliver(sender, address, () => {
                if (this.vms.get(address)?.process === receiver) {
                    receiver.answer(structuredClone(call))
                        .then(value => answer(() => resolve(value)), (error: Error) => answer(() => reject(error)));
                }
            });
        });
    }

    /** Delivers in order, as one connection does. */
    private deliver(from: string, to: string, arrive: () => void): void {
        const now = performance.now();
        const slowMs = (this.slowness.get(from) ?? 0) + (this.slowness.get(to) ?? 0);
        const path = `${from} ${to}`;
        const at = Math.max(
            this.arrivals.get(path) ?? 0,
            now + DELAY_MS + slowMs + Math.floor(this.options.random() * JITTER_MS),
        );
        this.arrivals.set(path, at);
        setTimeout(arrive, Math.max(1, Math.ceil(at - now)));
    }
}
