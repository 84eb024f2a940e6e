import type { TrafficConfiguration } from "@kumquathall/types";
import { ControlNetwork } from "./controlNetwork.js";
import type { ControlProcess, ControlVm } from "./controlVm.js";
import { buildSimulatedTraffic } from "./deliverySimulation.js";
import { chooseDisruption, DISK_BROKEN, type Disruption, type FaultTarget } from "./durabilityFaults.js";
import { createRandom } from "./random.js";
import { runInVirtualTime, type VirtualTime } from "./virtualTime.js";

export interface DurabilityOptions {
    seed: number;
    /** Time with disruptions before the final fault, in milliseconds. */
    durationMs: number;
    /** VMs at the start, of which the first three are the seeds; five members are wanted. */
    vms: number;
    /** Kinds of disruptions that occur before the final fault; all by default. */
    kinds?: readonly string[];
    /** Guard of the product to disable, to test that the simulation detects the fault. */
    disabledGuard?: string;
    onLine?: (line: string) => void;
    /** Time to set up a link between two members, in milliseconds; none by default. */
    linkSetUpMs?: number;
    /** Whether each loss must be made up for once the VM has been back for the time to catch up. */
    mustReplace?: boolean;
}

export interface DurabilityResult {
    /** What was lost, shown in an older state or not served in time. */
    violations: string[];
    acknowledged: number;
    /** Longest time without an acknowledgement from the founding to the final fault, in milliseconds. */
    longestPauseMs: number;
    reads: number;
    disruptions: string[];
    /** Number of changes of members that leaders have proposed after the founding. */
    memberChanges: number;
    /** Times for which the group had too few members that run and hold a copy, until the final fault, in milliseconds. */
    incompleteMs: number[];
}

const SEEDS = 3;
const TARGET_MEMBERS = 5;
const OPERATORS = 2;
/** Part of the confirmations that do not reach the operator, who sends the version again. */
const LOST_CONFIRMATION_PART = 0.15;
const READ_EVERY_MS = 200;
const FOUNDING_MS = 5000;
/** Time within which a lost VM that is back takes part again, in milliseconds. */
export const CATCH_UP_MS = 4000;
const RECOVER_MS = 12_000;
const STEP_MS = 50;
const MAX_TOLERATED_DISKS = 2;
const CALL_MS = 1000;

/** Operators that publish to and read from a control group while its VMs, disks and links fail. */
export class DurabilitySimulation implements FaultTarget {
    readonly random: () => number;
    readonly network: ControlNetwork;
    readonly result: DurabilityResult = {
        violations: [],
        acknowledged: 0,
        longestPauseMs: 0,
        reads: 0,
        disruptions: [],
        memberChanges: 0,
        incompleteMs: [],
    };
    /** Documents that were sent, by version. */
    private readonly sent = new Map<number, Set<string>>();
    /** Document that was read first, by version. */
    private readonly seen = new Map<number, string>();
    private newestAcknowledged = 0;
    /** When the latest acknowledgement came while pauses are measured; `undefined` otherwise. */
    private acknowledgedAt: number | undefined;
    private version = 0;
    private isStopped = false;
    private incompleteSince: number | undefined;
    /** Index up to which the log was committed when the members were last looked at. */
    private watchedIndex = 0;
    /** Called at the next acknowledgement. */
    private onAcknowledged: (() => void) | undefined;
    /** Called at the next acknowledgement by each VM. */
    private readonly onAcknowledgedBy = new Map<ControlVm, () => void>();
    /** When VMs whose disk was lost are back, by address; they count as lost until the group has been calm since. */
    private readonly diskBackAt = new Map<string, number>();
    private calmSince = 0;
    /** A minority of the members. */
    private readonly toleratedDisks: number;
    private nextAddress = 1;

    private constructor(private readonly options: DurabilityOptions, readonly time: VirtualTime) {
        this.random = createRandom(options.seed);
        this.toleratedDisks = Math.min(MAX_TOLERATED_DISKS, Math.floor((options.vms - 1) / 2));
        for (let draw = 0; draw < 10; draw++) {
            this.random();
        }
        const addresses = Array.from({ length: options.vms }, () => this.createAddress());
        this.network = new ControlNetwork({
            random: this.random,
            addresses,
            seeds: addresses.slice(0, SEEDS),
            targetMembers: TARGET_MEMBERS,
            snapshotEvery: this.random() < 0.5 ? 10 : 64,
            disabledGuard: options.disabledGuard,
            onProcessFailure: (address, error) => {
                if (!String(error).includes(DISK_BROKEN.message)) {
                    this.fail(`the process at ${address} has ended: ${String(error)}`);
                }
            },
            onLine: line => this.recordLine(line),
            linkSetUpMs: options.linkSetUpMs ?? 0,
        });
    }

    static run(options: DurabilityOptions): Promise<DurabilityResult> {
        return runInVirtualTime(async time => {
            const simulation = new DurabilitySimulation(options, time);
            await simulation.execute();
            simulation.isStopped = true;
            simulation.network.close();
            return simulation.result;
        });
    }

    createAddress(): string {
        return `10.0.0.${this.nextAddress++}:70`;
    }

    pick<Item>(items: readonly Item[]): Item | undefined {
        return items[Math.floor(this.random() * items.length)];
    }

    /** Number of disks that may be lost now without exceeding what is tolerated. */
    countSpareDisks(): number {
        const now = performance.now();
        const isLost = (backAt: number) => now < Math.max(backAt, this.calmSince) + CATCH_UP_MS;
        return this.toleratedDisks - [...this.diskBackAt.values()].filter(isLost).length;
    }

    /** Replaces the disk by an empty one; the VM is back after a time. */
    replaceDisk(vm: ControlVm, downMs: number): void {
        this.recordDiskLost(vm, downMs);
        vm.replaceDisk();
        this.startLater(vm, downMs);
    }

    /** Counts a VM as lost until it, or its successor, has been back for the time to catch up. */
    recordDiskLost(vm: ControlVm, downMs: number): void {
        this.diskBackAt.set(vm.options.address, performance.now() + downMs);
    }

    runAtAcknowledgement(vm: ControlVm, run: () => void): void {
        this.onAcknowledgedBy.set(vm, run);
    }

    startLater(vm: ControlVm, downMs: number): void {
        setTimeout(() => {
            if (!this.isStopped) {
                vm.start(false);
            }
        }, downMs);
    }

    private async execute(): Promise<void> {
        this.network.listVms().forEach(vm => setTimeout(() => vm.start(true), Math.floor(this.random() * 300)));
        for (let operator = 0; operator < OPERATORS; operator++) {
            void this.publishUntilStopped();
        }
        void this.readOften();
        await this.advance(FOUNDING_MS);
        this.acknowledgedAt = performance.now();
        const endsAt = performance.now() + this.options.durationMs;
        const watch = setInterval(() => this.watchMembers(), STEP_MS);
        while (performance.now() < endsAt) {
            await this.attemptDisruption();
        }
        clearInterval(watch);
        this.recordPause();
        this.acknowledgedAt = undefined;
        await this.executeFinalFault();
    }

    private recordLine(line: string): void {
        if (performance.now() > FOUNDING_MS && line.includes("event=control-member-change ")) {
            this.result.memberChanges++;
        }
        this.options.onLine?.(`${performance.now().toFixed(0)} ${line}`);
    }

    /** Records how long the group is incomplete, and checks that it is complete once nothing counts as lost. */
    private watchMembers(): void {
        const now = performance.now();
        const missing = this.describeMissing();
        if (missing === undefined && this.incompleteSince !== undefined) {
            this.result.incompleteMs.push(Math.round(now - this.incompleteSince));
        }
        this.incompleteSince = missing === undefined ? undefined : this.incompleteSince ?? now;
        if (
            this.options.mustReplace === true && this.countSpareDisks() === this.toleratedDisks && missing !== undefined
        ) {
            this.fail(`a loss is not made up for: ${missing}`);
        }
    }

    /** Describes what the group lacks; `undefined` if all its members run and hold a copy. */
    private describeMissing(): string | undefined {
        const processes = this.network.listProcesses();
        const leader = processes.find(process => process.runtime?.canServe() === true)?.runtime;
        if (leader === undefined) {
            return "no leader";
        }
        const copies = leader.getMembers().filter(member =>
            processes.some(process => process.id === member) && leader.hasCopy(member, this.watchedIndex)
        );
        this.watchedIndex = leader.getState().commitIndex;
        return copies.length >= TARGET_MEMBERS ? undefined : `${copies.length} copies`;
    }

    private recordPause(): void {
        if (this.acknowledgedAt !== undefined) {
            const now = performance.now();
            this.result.longestPauseMs = Math.max(this.result.longestPauseMs, now - this.acknowledgedAt);
            this.acknowledgedAt = now;
        }
    }

    private async advance(ms: number): Promise<void> {
        await this.time.advanceTimers(ms);
    }

    private async attemptDisruption(): Promise<void> {
        const disruption = chooseDisruption(this, this.options.kinds);
        if (disruption === undefined) {
            await this.advance(STEP_MS);
            return;
        }
        if (this.random() < 0.4) {
            await this.waitForAcknowledgement(() => this.startDisruption(disruption));
        }
        else {
            this.startDisruption(disruption);
        }
        await this.advance(Math.floor(this.random() * disruption.lastsMs));
        if (this.random() < 0.6) {
            await this.advance(Math.floor(this.random() * 4000));
        }
    }

    private startDisruption(disruption: Disruption): void {
        this.recordDisruption(disruption.name);
        this.calmSince = Math.max(this.calmSince, performance.now() + disruption.lastsMs);
        disruption.begin();
        setTimeout(() => disruption.end?.(), disruption.lastsMs);
    }

    private recordDisruption(name: string): void {
        this.result.disruptions.push(`${performance.now().toFixed(0)} ${name}`);
        this.options.onLine?.(`${performance.now().toFixed(0)} == ${name}`);
    }

    /** Runs a function at the next acknowledgement, or after a while if there is none. */
    private async waitForAcknowledgement(run: () => void): Promise<void> {
        let hasRun = false;
        const runOnce = () => {
            if (!hasRun) {
                hasRun = true;
                run();
            }
        };
        this.onAcknowledged = runOnce;
        for (let waitedMs = 0; waitedMs < 2000 && !hasRun; waitedMs += STEP_MS) {
            await this.advance(STEP_MS);
        }
        this.onAcknowledged = undefined;
        runOnce();
    }

    /** Waits until the group is whole, and lets the final fault strike right after an acknowledgement. */
    private async executeFinalFault(): Promise<void> {
        // Disruptions under way end first; VMs that are down come back by themselves.
        this.network.diskSlowness.clear();
        await this.advance(Math.floor(this.random() * 8000) + 4000);
        while (this.countSpareDisks() < this.toleratedDisks) {
            await this.advance(STEP_MS);
        }
        await this.waitForAcknowledgement(() => this.startFinalFault());
        const newest = this.newestAcknowledged;
        await this.advance(RECOVER_MS);
        this.isStopped = true;
        for (const vm of this.network.listVms()) {
            await this.readAtEnd(vm, newest);
        }
    }

    private startFinalFault(): void {
        const vms = this.network.listVms();
        const backMs = () => 100 + Math.floor(this.random() * 1500);
        const kind = this.pick(["power", "kill", "disks", "disks and power", "disks and power"]);
        this.recordDisruption(`final fault: ${kind}`);
        if (kind === "power" || kind === "kill") {
            vms.forEach(vm => {
                kind === "power" ? vm.crash() : vm.kill();
                this.startLater(vm, backMs());
            });
            return;
        }
        const lost = [...vms].sort(() => this.random() - 0.5).slice(0, this.toleratedDisks);
        lost.forEach(vm => this.replaceDisk(vm, backMs()));
        if (kind === "disks and power") {
            vms.filter(vm => !lost.includes(vm)).forEach(vm => {
                vm.crash();
                this.startLater(vm, backMs());
            });
        }
    }

    private async readAtEnd(vm: ControlVm, newest: number): Promise<void> {
        for (let attempt = 0; attempt < 4; attempt++) {
            let version: number | undefined;
            void this.read(vm.process).then(read => {
                version = read;
            });
            await this.advance(CALL_MS);
            if (version !== undefined) {
                if (version < newest) {
                    this.fail(`${vm.options.address} shows version ${version} at the end, ${newest} was acknowledged`);
                }
                return;
            }
        }
        this.fail(`${vm.options.address} shows nothing at the end, ${newest} was acknowledged`);
    }

    private fail(text: string): void {
        this.result.violations.push(`${performance.now().toFixed(0)} ${text}`);
        this.options.onLine?.(`${performance.now().toFixed(0)} !! ${text}`);
    }

    /** Sends versions until each is acknowledged or another operator has gone on. */
    private async publishUntilStopped(): Promise<void> {
        while (!this.isStopped) {
            await this.wait(20 + this.random() * 300);
            this.version += this.random() < 0.15 ? 0 : 1 + Math.floor(this.random() * 2);
            const traffic = this.buildTraffic(this.version);
            const document = JSON.stringify({ traffic, padding: "x".repeat(Math.floor(this.random() * 2000)) });
            const sent = this.sent.get(traffic.version) ?? new Set();
            this.sent.set(traffic.version, sent.add(document));
            for (let attempt = 0; attempt < 20 && !this.isStopped; attempt++) {
                if (await this.publish(this.pick(this.network.listProcesses()), traffic, document)) {
                    break;
                }
                await this.wait(100);
            }
        }
    }

    private buildTraffic(version: number): TrafficConfiguration {
        const traffic = buildSimulatedTraffic(4);
        const accounts = traffic.accounts.slice(0, 3).map((account, at) => ({
            ...account,
            keys: [`key-${at === version % 3 ? version : 0}-${at}`],
        }));
        return { ...traffic, version, accounts, routes: traffic.routes.slice(version % 3) };
    }

    /** Publishes at a process. Returns whether the operator gets the confirmation. */
    private async publish(
        process: ControlProcess | undefined,
        traffic: TrafficConfiguration,
        document: string,
    ): Promise<boolean> {
        const published = process?.publish(traffic, document).then(() => true, () => false) ?? Promise.resolve(false);
        const isConfirmed = await Promise.race([published, this.wait(CALL_MS).then(() => false)]);
        if (
            !isConfirmed || process === undefined || process.vm.process !== process
            || this.random() < LOST_CONFIRMATION_PART
        ) {
            return false;
        }
        this.result.acknowledged++;
        this.recordPause();
        this.newestAcknowledged = Math.max(this.newestAcknowledged, traffic.version);
        this.options.onLine?.(`${performance.now().toFixed(0)} ++ ${traffic.version} at ${process.id}`);
        const strike = this.onAcknowledged;
        this.onAcknowledged = undefined;
        strike?.();
        const strikeThere = this.onAcknowledgedBy.get(process.vm);
        this.onAcknowledgedBy.delete(process.vm);
        strikeThere?.();
        return true;
    }

    private async readOften(): Promise<void> {
        while (!this.isStopped) {
            await this.wait(READ_EVERY_MS);
            const newest = this.newestAcknowledged;
            const process = this.pick(this.network.listProcesses());
            void this.read(process).then(version => {
                if (version !== undefined && version < newest) {
                    this.fail(`${process?.id} shows version ${version}, ${newest} was acknowledged before`);
                }
            });
        }
    }

    /** Reads at a process and checks that the document is one that was sent; `undefined` if there is no answer. */
    private async read(process: ControlProcess | undefined): Promise<number | undefined> {
        const document = await process?.read().catch(() => undefined);
        if (document === undefined || process?.vm.process !== process) {
            return undefined;
        }
        this.result.reads++;
        const { version } = (JSON.parse(document) as { traffic: TrafficConfiguration }).traffic;
        if (this.sent.get(version)?.has(document) !== true) {
            this.fail(`version ${version} is not shown as it was sent`);
        }
        const seen = this.seen.get(version) ?? document;
        this.seen.set(version, seen);
        if (seen !== document) {
            this.fail(`version ${version} is shown with another content than before`);
        }
        return version;
    }

    private wait(ms: number): Promise<void> {
        return new Promise(resolve => setTimeout(resolve, ms));
    }
}
